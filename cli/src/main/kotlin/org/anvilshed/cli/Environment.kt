package org.anvilshed.cli

import org.anvilshed.wire.platform.PlatformClient
import kotlin.time.Duration
import kotlin.time.Instant

/** Clock, random ids and network access of the commands; tests replace them. */
internal interface Environment {
    fun now(): Instant

    /** Returns a new random write id. */
    fun newWriteId(): String

    /** Runs [work] with a client of the platform at [url]. */
    fun <T> withPlatform(url: String, clientName: String, timeout: Duration, work: suspend (PlatformClient) -> T): T

    /** Sends `GET` to [url] of a VM with the query [parameters]. */
    fun get(url: String, parameters: Map<String, String>, timeout: Duration): VmResult
}

/** Result of an HTTP request to a VM. */
internal sealed interface VmResult {
    class Response(val status: Int, val body: String) : VmResult

    /** No response was received, for the reason in [message]. */
    class Unreachable(val message: String) : VmResult
}
