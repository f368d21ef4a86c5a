package org.anvilshed.wire.platform

import kotlin.coroutines.Continuation
import kotlin.coroutines.EmptyCoroutineContext
import kotlin.coroutines.resume
import kotlin.coroutines.startCoroutine
import kotlin.coroutines.suspendCoroutine

/** A procedure of one operator that suspends before each call to the platform until [step] decides its outcome. */
class OperatorProcess<T>(private val work: suspend (CallGate) -> T, private val onEnd: (T) -> Unit) {
    private var pending: Continuation<CallOutcome>? = null
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

    fun step(outcome: CallOutcome) {
        val continuation = pending
        pending = null
        continuation?.resume(outcome)
    }
}

/** Runs [work], which must not suspend, and returns its result. */
fun <T> runWithoutWaiting(work: suspend () -> T): T {
    var result: Result<T>? = null
    work.startCoroutine(Continuation(EmptyCoroutineContext) { result = it })
    return checkNotNull(result) { "the work was suspended" }.getOrThrow()
}
