package org.anvilshed.daemon

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.JsonEncoder
import ch.qos.logback.classic.encoder.PatternLayoutEncoder
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import org.anvilshed.daemon.settings.LogFormat
import org.anvilshed.daemon.settings.LogSettings
import org.slf4j.LoggerFactory

private const val TEXT_PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level %logger{0}: %msg%n"

/** Configures the log to be written to standard error in the format of [settings], one line per event. */
internal fun configureLogging(settings: LogSettings) {
    val context = LoggerFactory.getILoggerFactory() as? LoggerContext ?: return
    context.reset()
    val encoder = when (settings.format) {
        LogFormat.TEXT -> PatternLayoutEncoder().apply { pattern = TEXT_PATTERN }

        LogFormat.JSON -> JsonEncoder().apply {
            setWithSequenceNumber(false)
            setWithNanoseconds(false)
            setWithThreadName(false)
            setWithContext(false)
            setWithMessage(false)
            setWithArguments(false)
            setWithFormattedMessage(true)
        }
    }
    encoder.context = context
    encoder.start()
    val appender = ConsoleAppender<ILoggingEvent>()
    appender.context = context
    appender.target = "System.err"
    appender.encoder = encoder
    appender.start()
    val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
    root.level = Level.WARN
    root.addAppender(appender)
    context.getLogger("org.anvilshed").level = Level.toLevel(settings.level.label)
}
