package org.anvilshed.benchmark

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.anvilshed.standins.LocalDeployment
import org.anvilshed.standins.Programs
import org.anvilshed.standins.REGIE
import org.anvilshed.standins.RunLocal
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.ExperimentalPathApi
import kotlin.io.path.deleteRecursively

/** Guards against a failure in what `bin/run-local` shows: sign-off, lookups, reads, bookings and graceful shutdown. */
class RunLocalProcessTest :
    FunSpec({
        test("a deployment serves lookups, reads and bookings and stops with exit code 0") {
            runDeployment(Programs.onClassPath(System.getProperty("java.class.path")))
        }

        // Fails if the programs are not looked up where the build leaves them; needs the jars of the phase "package".
        test("a deployment of the packaged programs serves lookups, reads and bookings and stops with exit code 0") {
            runDeployment(Programs.inRepository(Path.of("..").toRealPath()))
        }
    })

@OptIn(ExperimentalPathApi::class)
private fun runDeployment(programs: Programs) {
    val folder = Files.createTempDirectory("anvilshed-test")
    LocalDeployment(REGIE, programs, folder).use { deployment ->
        val local = RunLocal(deployment, ::println)
        deployment.start()
        local.publish()
        local.sendRequests()
        local.stop() shouldBe true
    }
    folder.deleteRecursively()
}
