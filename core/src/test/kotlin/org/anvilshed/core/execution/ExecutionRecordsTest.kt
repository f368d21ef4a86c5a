package org.anvilshed.core.execution

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.matchers.types.shouldBeSameInstanceAs
import org.anvilshed.core.Incarnation
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.RefusalReason
import org.anvilshed.core.UnknownReason
import org.anvilshed.core.VmIdentity
import org.anvilshed.core.VmName
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

private val OWNER = VmIdentity(VmName("nbo-a-1"), Incarnation(1))
private val START = MonotonicTime(-5_000_000_000)
private val DEADLINE = START + 5.seconds

private fun identifier(nonce: String = "nonce-01", window: Long = 0) = RequestIdentifier(OWNER, window, nonce)

private fun records(limits: ExecutionLimits = ExecutionLimits()) =
    ExecutionRecords(OWNER, IdentifierWindows(START), limits)

private fun ExecutionRecords.admitted(nonce: String = "nonce-01", now: MonotonicTime = START): Execution =
    admit(identifier(nonce)) { now }.shouldBeInstanceOf<ExecutionAdmission.Admitted>().execution

private fun Execution.dispatchAt(now: MonotonicTime, denied: RefusalReason? = null) =
    dispatch(DEADLINE, { now }) { denied }

private fun answer(bytes: Int = 1) = RecordedAnswer(200, emptyList(), ByteArray(bytes), null)

class ExecutionRecordsTest :
    FunSpec({
        test("windows are accepted for 4 minutes after their end and kept for another minute") {
            val windows = IdentifierWindows(START)
            windows.stateOf(0, START) shouldBe WindowState.ACCEPTED
            windows.stateOf(1, START + 60.seconds - 1.nanoseconds) shouldBe WindowState.NOT_ISSUED
            windows.stateOf(1, START + 60.seconds) shouldBe WindowState.ACCEPTED
            windows.stateOf(0, START + 5.minutes - 1.nanoseconds) shouldBe WindowState.ACCEPTED
            windows.stateOf(0, START + 5.minutes) shouldBe WindowState.EXPIRED
            windows.oldestRetainedWindow(START + 6.minutes - 1.nanoseconds) shouldBe 0
            windows.oldestRetainedWindow(START + 6.minutes) shouldBe 1
            windows.currentWindow(START - 1.seconds) shouldBe 0
        }

        test("a dispatch is denied from the deadline on and while the owner may not send, and happens only once") {
            val execution = records().admitted()
            val passed = DispatchDecision.Denied(RefusalReason.DEADLINE_PASSED)
            execution.dispatchAt(DEADLINE) shouldBe passed
            execution.dispatchAt(START, denied = RefusalReason.NO_SEAT) shouldBe
                DispatchDecision.Denied(RefusalReason.NO_SEAT)
            execution.dispatchAt(DEADLINE - 1.nanoseconds) shouldBe DispatchDecision.Dispatched(1)
            execution.dispatchAt(START) shouldBe DispatchDecision.AlreadyDispatched
        }

        test("a window that expires while the request waits denies the dispatch") {
            val execution = records().admitted(now = START + 5.minutes - 1.nanoseconds)
            execution.dispatch(START + 6.minutes, { START + 5.minutes }) { null } shouldBe
                DispatchDecision.Denied(RefusalReason.DEADLINE_PASSED)
        }

        test("a refusal before the dispatch removes the record, so that the identifier may be tried again") {
            val records = records(ExecutionLimits(records = 1))
            repeat(3) {
                val execution = records.admitted()
                execution.refuse(RefusalReason.NO_SLOT, 200.milliseconds) shouldBe true
                execution.result shouldBe ExecutionResult.NotRun(RefusalReason.NO_SLOT, 200.milliseconds)
                execution.dispatchAt(START).shouldBeInstanceOf<DispatchDecision.Ended>()
                records.recordCount shouldBe 0
            }
        }

        test("a dispatched request is not refused, and is sent elsewhere only after its pending attempt did not run") {
            val execution = records().admitted()
            execution.dispatchAt(START) shouldBe DispatchDecision.Dispatched(1)
            execution.refuse(RefusalReason.CANCELLED) shouldBe false
            execution.returnNotRun(2) shouldBe false
            execution.returnNotRun(1) shouldBe true
            execution.returnNotRun(1) shouldBe false
            execution.complete(answer()) shouldBe false
            execution.dispatchAt(START) shouldBe DispatchDecision.Dispatched(2)
            // A late statement about the first attempt must not permit a third one while the second is pending.
            execution.returnNotRun(1) shouldBe false
            execution.dispatchAt(START) shouldBe DispatchDecision.AlreadyDispatched
        }

        test("duplicates wait for the first result, and later ones receive it at once") {
            val records = records()
            val execution = records.admitted()
            val seen = mutableListOf<ExecutionResult>()
            val duplicate = records.admit(identifier()) { START }.shouldBeInstanceOf<ExecutionAdmission.Duplicate>()
            duplicate.execution shouldBeSameInstanceAs execution
            duplicate.execution.subscribe { seen += it }
            duplicate.execution.subscribe { error("cancelled") }.cancel()
            execution.dispatchAt(START)
            seen shouldBe emptyList()
            val answer = answer()
            execution.complete(answer) shouldBe true
            execution.complete(answer) shouldBe false
            execution.subscribe { seen += it }
            seen shouldBe listOf(ExecutionResult.Answered(answer), ExecutionResult.Answered(answer))
            records.recordedBytes shouldBe 1
        }

        test("an answer after the deadline replaces the unknown result, never the other way round") {
            val execution = records().admitted()
            execution.endUnknown(UnknownReason.DEADLINE_PASSED) shouldBe false
            execution.dispatchAt(START)
            execution.endUnknown(UnknownReason.DEADLINE_PASSED) shouldBe true
            execution.returnNotRun(1) shouldBe false
            execution.refuse(RefusalReason.TARGET_SHED) shouldBe false
            execution.complete(null) shouldBe true
            execution.endUnknown(UnknownReason.TARGET_CONNECTION_LOST) shouldBe false
            execution.result shouldBe ExecutionResult.AnswerNotRetained
        }

        test("answers beyond the limit per answer or the total limit are not retained") {
            val records = records(ExecutionLimits(answerBytes = 10, totalAnswerBytes = 15))
            val sizes = mapOf("nonce-01" to 11, "nonce-02" to 10, "nonce-03" to 6, "nonce-04" to 5)
            val retained = sizes.mapValues { (nonce, bytes) ->
                val execution = records.admitted(nonce)
                execution.dispatchAt(START)
                execution.complete(answer(bytes))
                execution.result is ExecutionResult.Answered
            }
            retained.values.toList() shouldBe listOf(false, true, false, true)
            records.recordedBytes shouldBe 15
            records.expire(START + 6.minutes)
            records.recordedBytes shouldBe 0
            records.recordCount shouldBe 0
        }

        test("a full table refuses new requests, recognizes duplicates and removes no record") {
            val records = records(ExecutionLimits(records = 2))
            val first = records.admitted("nonce-01")
            first.dispatchAt(START)
            first.complete(answer())
            records.admitted("nonce-02")
            records.admit(identifier("nonce-03")) { START } shouldBe
                ExecutionAdmission.Refused(RefusalReason.RECORDS_FULL)
            records.admit(identifier("nonce-01")) { START }.shouldBeInstanceOf<ExecutionAdmission.Duplicate>()
        }

        test("identifiers of other windows, incarnations and VMs are not admitted") {
            val records = records()
            records.admit(identifier(window = 1)) { START } shouldBe ExecutionAdmission.Refused(RefusalReason.MALFORMED)
            records.admit(identifier()) { START + 5.minutes } shouldBe
                ExecutionAdmission.Unknown(UnknownReason.IDENTIFIER_EXPIRED)
            val replaced = OWNER.copy(incarnation = Incarnation(2))
            records.admit(identifier().copy(owner = replaced)) { START } shouldBe
                ExecutionAdmission.Unknown(UnknownReason.OWNER_REPLACED)
            val other = OWNER.copy(name = VmName("nbo-a-2"))
            records.admit(identifier().copy(owner = other)) { START } shouldBe ExecutionAdmission.OwnedElsewhere(other)
            records.recordCount shouldBe 0
        }

        test("expiry ends an admitted request as not run and a dispatched request as unknown") {
            val records = records()
            val admitted = records.admitted("nonce-01")
            val dispatched = records.admitted("nonce-02").also { it.dispatchAt(START) }
            records.expire(START + 6.minutes - 1.nanoseconds)
            records.recordCount shouldBe 2
            records.expire(START + 6.minutes)
            records.recordCount shouldBe 0
            admitted.result shouldBe ExecutionResult.NotRun(RefusalReason.DEADLINE_PASSED)
            dispatched.result shouldBe ExecutionResult.Unknown(UnknownReason.IDENTIFIER_EXPIRED)
            // A late answer must not reserve bytes of the limit, since nothing would release them.
            dispatched.complete(answer()) shouldBe false
            records.recordedBytes shouldBe 0
        }

        // Guards against a second run: the request ran on another thread, and its record expired during the pause.
        test("a thread that was paused in admit until the record was removed does not run the request again") {
            val records = records()
            var now = START
            var readings = 0
            val late = records.admit(identifier()) {
                if (readings++ == 0) {
                    START.also {
                        val first = records.admitted()
                        first.dispatchAt(START)
                        first.complete(answer())
                        now = START + 6.minutes
                        records.expire(now)
                    }
                } else {
                    now
                }
            }
            late shouldBe ExecutionAdmission.Unknown(UnknownReason.IDENTIFIER_EXPIRED)
            records.recordCount shouldBe 0
        }
    })
