package org.anvilshed.gateway

import kotlinx.coroutines.delay
import java.io.File
import java.io.IOException
import kotlin.time.Duration.Companion.seconds

/** Result of decoding the text of a settings file into [T]. */
public sealed interface SettingsResult<out T> {
    /** The file is valid. */
    public data class Valid<T>(public val settings: T) : SettingsResult<T>

    /** @property faults description of each invalid setting, which starts with the path of the setting. */
    public data class Invalid(public val faults: List<String>) : SettingsResult<Nothing>
}

/**
 * Settings file that may change while the process runs. Confined to the event loop.
 *
 * A change is decoded as a whole: a file with a fault is logged and leaves the former settings in force.
 *
 * @param inForce text from which the settings in force were decoded.
 * @param decode decodes the text of the file.
 * @param apply puts settings into force; returns whether all of them could be, without a restart of the process.
 */
public class SettingsFile<T>(
    private val file: File,
    private var inForce: String,
    private val log: DecisionLog,
    private val decode: (String) -> SettingsResult<T>,
    private val apply: (T) -> Boolean,
) {
    private var latest = inForce

    /** Looks for changes every [CHECK_PERIOD] until cancelled, as the file may change without a signal. */
    public suspend fun watch() {
        while (true) {
            delay(CHECK_PERIOD)
            val text = readOrNull()
            if (text != null && text != latest) putIntoForce(text, "changed")
        }
    }

    /**
     * Reads the file and puts its settings into force if they are valid.
     *
     * @param cause why the file is read, for the log.
     */
    public fun reload(cause: String) {
        readOrNull()?.let { putIntoForce(it, cause) }
    }

    private fun putIntoForce(text: String, cause: String) {
        latest = text
        if (text == inForce) {
            log.info("settings-unchanged", "cause" to cause)
            return
        }
        when (val result = decode(text)) {
            is SettingsResult.Valid -> {
                inForce = text
                val needsRestart = !apply(result.settings)
                log.info("settings-changed", "cause" to cause, "rest_after_restart" to needsRestart)
            }

            is SettingsResult.Invalid -> {
                log.warning("settings-rejected", "cause" to cause, "faults" to result.faults.size)
                result.faults.forEach { log.warning("settings-fault", "file" to file, "fault" to it) }
            }
        }
    }

    private fun readOrNull(): String? = try {
        file.readText()
    } catch (fault: IOException) {
        log.warning("settings-unreadable", "file" to file, "cause" to fault)
        null
    }

    private companion object {
        val CHECK_PERIOD = 5.seconds
    }
}
