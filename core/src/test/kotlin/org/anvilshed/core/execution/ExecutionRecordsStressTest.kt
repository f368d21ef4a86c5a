package org.anvilshed.core.execution

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.anvilshed.core.Incarnation
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RefusalReason
import org.anvilshed.core.UnknownReason
import org.anvilshed.core.VmIdentity
import org.anvilshed.core.VmName
import java.util.concurrent.Callable
import java.util.concurrent.CyclicBarrier
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicIntegerArray
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

private const val THREADS = 4
private const val IDENTIFIERS = 20_000
private const val RECORD_LIMIT = 64
private val OWNER = VmIdentity(VmName("nbo-a-1"), Incarnation(1))
private val START = MonotonicTime(0)

/**
 * Guards against races between [ExecutionRecords.admit], [Execution.dispatch] and [ExecutionRecords.expire]: several
 * threads use each identifier at nearly the same time, while one of them also removes expired records.
 */
class ExecutionRecordsStressTest :
    FunSpec({
        test("concurrent threads run no identifier twice, and the limits are kept") {
            val time = AtomicLong(START.nanoseconds)
            val readClock = { MonotonicTime(time.get()) }
            val windows = IdentifierWindows(START, length = 1.seconds)
            val limits = ExecutionLimits(records = RECORD_LIMIT, totalAnswerBytes = 100)
            val records = ExecutionRecords(OWNER, windows, limits)
            val executions = AtomicIntegerArray(IDENTIFIERS)
            val answered = AtomicLong()
            val barrier = CyclicBarrier(THREADS)

            fun attempt(number: Int, random: Random) {
                // Each window has ten identifiers, so that records expire throughout the test.
                val identifier = RequestIdentifier(OWNER, number / 10L, "nonce-%05d".format(number))
                val execution = when (val admission = records.admit(identifier, readClock)) {
                    is ExecutionAdmission.Admitted -> admission.execution
                    is ExecutionAdmission.Duplicate -> {
                        admission.execution.subscribe {
                            if (it is ExecutionResult.Answered) check(it.answer.status == number)
                        }
                        // A thread that received a duplicate must not be able to dispatch the request again either.
                        admission.execution
                    }
                    else -> return
                }
                if (random.nextInt(4) == 0) execution.refuse(RefusalReason.CANCELLED)
                val decision = execution.dispatch(MonotonicTime(Long.MAX_VALUE), readClock) { null }
                if (decision is DispatchDecision.Dispatched) {
                    if (random.nextInt(4) == 0 && execution.returnNotRun(decision.attempt)) {
                        execution.refuse(RefusalReason.TARGET_SHED)
                        return
                    }
                    executions.incrementAndGet(number)
                    if (random.nextInt(8) == 0) execution.endUnknown(UnknownReason.TARGET_CONNECTION_LOST)
                    if (execution.complete(RecordedAnswer(number, emptyList(), ByteArray(1), null))) {
                        answered.incrementAndGet()
                    }
                }
                check(records.recordCount <= RECORD_LIMIT + THREADS) {
                    "${records.recordCount} records exceed the limit"
                }
            }

            val pool = Executors.newFixedThreadPool(THREADS)
            try {
                val workers = (0 until THREADS).map { thread ->
                    Callable {
                        val random = Random(thread)
                        for (number in 0 until IDENTIFIERS) {
                            if (number % 10 == 0) barrier.await(60, TimeUnit.SECONDS)
                            attempt(number, random)
                            if (thread == 0) {
                                time.addAndGet(100_000_000)
                                records.expire(readClock())
                            }
                        }
                    }
                }
                pool.invokeAll(workers).forEach { it.get() }
            } finally {
                pool.shutdown()
            }
            (0 until IDENTIFIERS).count { executions[it] > 1 } shouldBe 0
            check(answered.get() > IDENTIFIERS / 4) { "only ${answered.get()} of $IDENTIFIERS ran" }
            records.expire(readClock() + 60.seconds)
            records.recordCount shouldBe 0
            records.recordedBytes shouldBe 0
        }
    })
