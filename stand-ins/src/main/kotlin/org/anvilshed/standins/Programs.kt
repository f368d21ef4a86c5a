package org.anvilshed.standins

import java.io.File
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.exists
import kotlin.io.path.name

private const val DAEMON_MAIN_CLASS = "org.anvilshed.daemon.MainKt"
private const val OPERATOR_MAIN_CLASS = "org.anvilshed.cli.MainKt"
private const val STAND_INS_MAIN_CLASS = "org.anvilshed.standins.MainKt"

/** Small heaps and the serial garbage collector, so that ten processes start quickly on one machine. */
private val JVM_OPTIONS = listOf("-Xmx96m", "-Xss512k", "-XX:+UseSerialGC")

/**
 * Command lines of the programs that a local deployment starts, each without its arguments.
 *
 * @property daemon daemon of an entry VM.
 * @property operator `anvilctl`.
 * @property standIns stand-ins of this module.
 */
public class Programs(
    public val daemon: List<String>,
    public val operator: List<String>,
    public val standIns: List<String>,
) {
    public companion object {
        /** Returns the programs on a single [classPath] with all modules, as in a test. */
        public fun onClassPath(classPath: String, jvmOptions: List<String> = JVM_OPTIONS): Programs = Programs(
            command(classPath, DAEMON_MAIN_CLASS, jvmOptions),
            command(classPath, OPERATOR_MAIN_CLASS, jvmOptions),
            command(classPath, STAND_INS_MAIN_CLASS, jvmOptions),
        )

        /**
         * Returns the programs that `mvn package` built in the repository at [root].
         *
         * @throws IllegalStateException if a module is not built.
         */
        public fun inRepository(root: Path, jvmOptions: List<String> = JVM_OPTIONS): Programs = Programs(
            command(moduleClassPath(root, "daemon"), DAEMON_MAIN_CLASS, jvmOptions),
            command(moduleClassPath(root, "cli"), OPERATOR_MAIN_CLASS, jvmOptions),
            command(moduleClassPath(root, "stand-ins"), STAND_INS_MAIN_CLASS, jvmOptions),
        )

        private fun moduleClassPath(root: Path, module: String): String {
            // The parent POM gives each module a build directory below the root's target folder.
            val target = root.resolve("target").resolve("anvilshed-$module")
            val jar = target.takeIf { it.exists() }?.let { folder ->
                Files.list(folder).use { files ->
                    files.filter { it.name.startsWith("anvilshed-$module-") && it.name.endsWith(".jar") }.findFirst()
                }.orElse(null)
            }
            checkNotNull(jar) { "module $module is not built in $root: run mvn package" }
            return "$jar${File.pathSeparator}${target.resolve("libraries")}${File.separator}*"
        }

        private fun command(classPath: String, mainClass: String, jvmOptions: List<String>): List<String> =
            listOf(Path.of(System.getProperty("java.home"), "bin", "java").toString()) + jvmOptions +
                listOf("-cp", classPath, mainClass)
    }
}
