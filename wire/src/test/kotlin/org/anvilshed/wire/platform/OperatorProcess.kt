package org.anvilshed.wire.platform

import kotlin.coroutines.Continuation
import kotlin.coroutines.EmptyCoroutineContext
import kotlin.coroutines.resume
import kotlin.coroutines.startCoroutine
import kotlin.coroutines.suspendCoroutine

/** A procedure of one operator that stops before each call to the platform until [step] decides the call's fate. */
class OperatorProcess<T>(private val work: suspend (CallGate) -> T, private val onEnd: (T) -> Unit) {
    private var pending: Continuation<CallFate>? = null
    private var pendingCall: String? = null

    val isWaiting: Boolean get() = pending != null

    val isReading: Boolean get() = isWaiting && pendingCall?.startsWith("put") == false

    fun start() {
        val gate = CallGate { call ->
            pendingCall = call
            suspendCoroutine { pending = it }
        }
        val body: suspend () -> T = { work(gate) }
        body.startCoroutine(Continuation(EmptyCoroutineContext) { onEnd(it.getOrThrow()) })
    }

    fun step(fate: CallFate) {
        val continuation = pending
        pending = null
        continuation?.resume(fate)
    }
}

/** Runs [work], which never waits, and returns its result. */
fun <T> runWithoutWaiting(work: suspend () -> T): T {
    var result: Result<T>? = null
    work.startCoroutine(Continuation(EmptyCoroutineContext) { result = it })
    return checkNotNull(result) { "the work waits" }.getOrThrow()
}
