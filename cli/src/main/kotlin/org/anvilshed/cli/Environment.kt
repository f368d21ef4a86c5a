package org.anvilshed.cli

import org.anvilshed.wire.platform.PlatformClient
import kotlin.time.Duration
import kotlin.time.Instant

/** What commands use of the outside world; tests replace it. */
internal interface Environment {
    fun now(): Instant

    /** Returns a new random write id. */
    fun newWriteId(): String

    /** Runs [work] with a client of the platform at [url]. */
    fun <T> withPlatform(url: String, clientName: String, timeout: Duration, work: suspend (PlatformClient) -> T): T

    /** Gets [url] with query [parameters]. */
    fun get(url: String, parameters: Map<String, String>, timeout: Duration): VmAnswer
}

/** Answer of a VM. */
internal sealed interface VmAnswer {
    class Answered(val status: Int, val body: String) : VmAnswer

    class Unreachable(val message: String) : VmAnswer
}
