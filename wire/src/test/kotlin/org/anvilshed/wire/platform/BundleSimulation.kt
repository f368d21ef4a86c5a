package org.anvilshed.wire.platform

import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.VmName
import org.anvilshed.core.bundle.BundleDigest
import org.anvilshed.core.bundle.BundleParseResult
import org.anvilshed.core.bundle.SignedBundle
import org.anvilshed.core.bundle.VerifiedBundle
import org.anvilshed.core.bundle.digest
import org.anvilshed.core.bundle.parseBundle
import kotlin.time.Duration.Companion.seconds

private const val VM_COUNT = 5

/** VMs from this index on reach only peers and not the platform. */
private const val FIRST_VM_WITHOUT_PLATFORM = 3
private val OPERATORS = listOf("asha", "brice", "chedi", "asha", "brice", "chedi", "asha", "brice", "chedi", "dora")

/** Fails the sequence with [message] unless [condition] is true. */
private fun check(condition: Boolean, message: () -> String) {
    if (!condition) throw AssertionError(message())
}

/** Simulates operators, platform and VMs and checks promise 8 of section 2 of the design page. */
class BundleSimulation {
    /** Number of results and accepted bundles by type, which shows that the sequences reach the intended cases. */
    val events = sortedMapOf<String, Int>()
    private val platform = FakePlatform()
    private val store = BundleStore(platform.client())
    private val processes = mutableListOf<OperatorProcess<*>>()
    private val vms = MutableList(VM_COUNT) { VmProcess(VmName("vm-$it")) }
    private val versionsSeen = MutableList(VM_COUNT) { 0L }
    private val digestInForce = mutableMapOf<Long, BundleDigest>()
    private val submittedIds = mutableMapOf<Long, String>()
    private val idsWithoutEffect = mutableSetOf<String>()
    private val signedByTwo = mutableMapOf<SignedBundle, Boolean>()
    private val lateReplies = mutableListOf<Pair<Int, SignedBundle>>()
    private var highestReported = 0L
    private var hasRevocations = false
    private var isOutage = false
    private var now = MonotonicTime(0)
    private var nextId = 0

    fun run(commands: List<SequenceCommand>) {
        for (command in commands) {
            now += 0.3.seconds
            execute(command)
            checkInvariants()
        }
        recover()
        checkRecovered()
    }

    private fun execute(command: SequenceCommand) {
        when (command) {
            is SequenceCommand.OperatorCommand -> executeOperator(command)

            is SequenceCommand.Outage -> isOutage = command.isOn

            SequenceCommand.DeliverDelayed -> platform.deliverDelayed()

            is SequenceCommand.ReadPlatform ->
                readPlatform(command.vm % FIRST_VM_WITHOUT_PLATFORM, effective(command.outcome))

            is SequenceCommand.Heartbeat ->
                heartbeat(command.from % VM_COUNT, command.to % VM_COUNT, command.reply)

            SequenceCommand.DeliverLateReplies -> deliverLateReplies()

            is SequenceCommand.Restart -> restart(command.vm % VM_COUNT)

            is SequenceCommand.OfferForged -> offerForged(command)

            is SequenceCommand.StoreForged -> storeForged(command)
        }
    }

    private fun executeOperator(command: SequenceCommand.OperatorCommand) {
        when (command) {
            is SequenceCommand.Submit -> submit(command)

            is SequenceCommand.SignOff -> signOff(command)

            is SequenceCommand.Release -> {
                submit(SequenceCommand.Submit(command.author, offset = 1, revoke = Int.MAX_VALUE, keepRevoked = true))
                finish(processes.last())
                signOff(SequenceCommand.SignOff(command.second, offset = 1))
                finish(processes.last())
            }

            SequenceCommand.Repair -> launch({ procedures(it).repairCurrent() }) { }

            is SequenceCommand.Step -> waiting(command.procedure)?.step(effective(command.outcome))

            is SequenceCommand.StepWrite -> waiting(command.procedure)?.let { process ->
                while (process.isReading) process.step(effective(CallOutcome.DELIVER))
                process.step(effective(command.outcome))
            }

            is SequenceCommand.Finish -> waiting(command.procedure)?.let(::finish)

            is SequenceCommand.Crash -> waiting(command.procedure)?.let { processes -= it }
        }
    }

    private fun effective(outcome: CallOutcome): CallOutcome = if (isOutage) CallOutcome.OUTAGE else outcome

    private fun procedures(gate: CallGate) = BundleProcedures(platform.client(gate), TestBundles.verifier)

    private fun waiting(index: Int): OperatorProcess<*>? {
        processes.removeIf { !it.isWaiting }
        return if (processes.isEmpty()) null else processes[index % processes.size]
    }

    private fun finish(process: OperatorProcess<*>) {
        while (process.isWaiting) process.step(effective(CallOutcome.DELIVER))
    }

    private fun <T> launch(work: suspend (CallGate) -> T, onEnd: (T) -> Unit) {
        processes += OperatorProcess(work, onEnd).also { it.start() }
    }

    private fun submit(command: SequenceCommand.Submit) {
        val operator = OPERATORS[command.operator % OPERATORS.size]
        val version = maxOf(1, currentVersion() + command.offset)
        val kept = if (command.keepRevoked) revokedByCurrent() else emptySet()
        val revoked = if (command.revoke < 2) kept + listOf("brice", "chedi")[command.revoke] else kept
        hasRevocations = hasRevocations || revoked.isNotEmpty()
        val id = "s-${nextId++}"
        val bytes = TestBundles.document(version, comment = id, revoked = revoked)
        launch({ procedures(it).submit(bytes, TestBundles.credentials(operator), id) }) { result ->
            checkSubmitResult(version, id, result)
        }
    }

    private fun count(event: Any) {
        events.merge(event::class.simpleName.orEmpty(), 1, Int::plus)
    }

    private fun checkSubmitResult(version: Long, id: String, result: SubmitResult) {
        count(result)
        val stored = record(version)
        when (result) {
            is SubmitResult.Submitted -> {
                val first = submittedIds.getOrPut(version) { id }
                check(first == id) { "both $first and $id were reported as submitted with version $version" }
                check(stored?.submissionId == id) {
                    "$id was reported as submitted, but the record has ${stored?.submissionId}"
                }
            }

            is SubmitResult.VersionTaken -> {
                check(stored?.author == result.existingAuthor && stored.submissionId == result.existingSubmissionId) {
                    "$id: version $version was reported as taken by ${result.existingAuthor}, not ${stored?.author}"
                }
                idsWithoutEffect += id
            }

            is ProcedureFailure.Rejected, is ProcedureFailure.Unreachable -> idsWithoutEffect += id

            is ProcedureFailure.Uncertain -> Unit
        }
    }

    private fun signOff(command: SequenceCommand.SignOff) {
        val operator = OPERATORS[command.operator % OPERATORS.size]
        val version = maxOf(1, currentVersion() + command.offset)
        val id = "o-${nextId++}"
        launch({
            procedures(it).signOff(version, null, TestBundles.credentials(operator), id, TestBundles.time)
        }) { result -> checkSignOffResult(version, id, result) }
    }

    private fun checkSignOffResult(version: Long, id: String, result: SignOffResult) {
        count(result)
        val stored = record(version)?.signOff
        val current = currentVersion()
        when (result) {
            is SignOffResult.SignedOff -> {
                check(stored?.signOffId == id) {
                    "$id was reported as signed off, but the record has ${stored?.signOffId}"
                }
                check(current >= version) { "$id was reported as signed off, but bundles/current is $current" }
                highestReported = maxOf(highestReported, version)
            }

            is SignOffResult.Superseded -> check(stored?.signOffId == id && current > version) {
                "$id was reported as superseded; the record has ${stored?.signOffId} and bundles/current is $current"
            }

            is SignOffResult.AlreadySignedOff -> {
                check(stored?.operator == result.operator) {
                    "$id: version $version was reported as signed off by ${result.operator}, not ${stored?.operator}"
                }
                check(current >= version) { "$id was reported as already signed off, but bundles/current is $current" }
                idsWithoutEffect += id
            }

            is ProcedureFailure.Rejected, is ProcedureFailure.Unreachable -> idsWithoutEffect += id

            is SignOffResult.Refused -> check(stored?.signOffId == id) {
                "$id was reported as a refused sign-off, but the record has ${stored?.signOffId}"
            }

            is ProcedureFailure.Uncertain -> Unit
        }
    }

    private fun readPlatform(vm: Int, outcome: CallOutcome) {
        val client = BundleStore(platform.client { if (it.endsWith("current")) outcome else CallOutcome.DELIVER })
        val record = runWithoutWaiting {
            client.readCurrent().valueOrNull()?.let { client.readRecord(it.value.version).valueOrNull() }
        }
        record?.let { offer(vm, it.value) }
    }

    private fun heartbeat(from: Int, to: Int, reply: ReplyOutcome) {
        if (from == to || !vms[to].requests(vms[from], now)) return
        val signed = vms[from].state.inForce?.signed ?: return
        when (reply) {
            ReplyOutcome.IN_TIME -> offer(to, signed)
            ReplyOutcome.LATE -> lateReplies += to to signed
            ReplyOutcome.LOST -> Unit
        }
    }

    private fun deliverLateReplies() {
        val replies = lateReplies.toList()
        lateReplies.clear()
        replies.forEach { (vm, signed) -> offer(vm, signed) }
    }

    private fun offer(vm: Int, signed: SignedBundle) {
        val before = vms[vm].state.inForce
        vms[vm].offer(signed)?.let { checkAccepted(it, before) }
    }

    private fun checkAccepted(accepted: VerifiedBundle, before: VerifiedBundle?) {
        count(accepted)
        val signed = accepted.signed
        val isValid = signedByTwo.getOrPut(signed) { isSignedByTwo(signed) }
        check(isValid) { "version ${accepted.version} came into force without two valid signatures" }
        val revoked = before?.bundle?.revokedKeys.orEmpty()
        check(signed.author !in revoked && signed.signOff?.operator !in revoked) {
            "version ${accepted.version} came into force with a key that version ${before?.version} revokes"
        }
        val first = digestInForce.getOrPut(accepted.version) { accepted.digest }
        check(first == accepted.digest) { "two bundles of version ${accepted.version} came into force" }
    }

    private fun restart(vm: Int) {
        vms[vm] = VmProcess(vms[vm].name)
        versionsSeen[vm] = 0
    }

    private fun offerForged(command: SequenceCommand.OfferForged) {
        val vm = command.vm % VM_COUNT
        val before = vms[vm].state.version
        offer(vm, forge(currentVersion() + 1, command.kind))
        check(vms[vm].state.version == before) { "a forged bundle (${command.kind}) came into force" }
    }

    private fun storeForged(command: SequenceCommand.StoreForged) {
        val version = currentVersion() + command.offset
        val key = bundleKey(version)
        if (key in platform.keys()) return
        val client = BundleStore(platform.client())
        runWithoutWaiting { client.writeRecord(version, forge(version, command.kind), expectedVersion = 0) }
    }

    private fun forge(version: Long, kind: ForgeryKind): SignedBundle = forgedBundle(version, kind, "f-${nextId++}")

    private fun checkInvariants() {
        vms.forEachIndexed { index, vm ->
            check(vm.state.version >= versionsSeen[index]) {
                "the version on ${vm.name} decreased from ${versionsSeen[index]} to ${vm.state.version}"
            }
            versionsSeen[index] = vm.state.version
        }
        val pointers = platform.bodies(CURRENT_BUNDLE_KEY).map { it.decodeToString() }
        val versions = pointers.map { Regex("\"version\":(\\d+)").find(it)?.groupValues?.get(1)?.toLong() ?: 0 }
        check(versions.zipWithNext().all { it.first < it.second }) { "bundles/current did not increase: $versions" }
    }

    private fun recover() {
        isOutage = false
        platform.deliverDelayed()
        deliverLateReplies()
        while (true) finish(waiting(0) ?: break)
        checkInvariants()
        runWithoutWaiting { procedures { CallOutcome.DELIVER }.repairCurrent() }
        repeat(VM_COUNT) { round ->
            now += 31.seconds
            for (vm in 0 until FIRST_VM_WITHOUT_PLATFORM) readPlatform(vm, CallOutcome.DELIVER)
            for (vm in 0 until VM_COUNT) heartbeat((vm + round) % VM_COUNT, vm, ReplyOutcome.IN_TIME)
        }
        checkInvariants()
    }

    private fun checkRecovered() {
        val current = currentVersion()
        val versions = vms.map { it.state.version }
        check(versions.all { it == current }) { "bundles/current is $current, but the VMs have $versions" }
        check(current >= highestReported) { "bundles/current is $current after $highestReported was reported" }
        val records = versionsStored().mapNotNull { version -> record(version)?.let { version to it } }
        for ((_, record) in records) {
            val ids = listOfNotNull(record.submissionId, record.signOff?.signOffId)
            check(ids.none { it in idsWithoutEffect }) { "$ids took effect, but an operator was told otherwise" }
        }
        if (!hasRevocations) {
            val signedOff = records.filter { isSignedByTwo(it.second) }.maxOfOrNull { it.first } ?: 0
            check(current == signedOff) { "version $signedOff is signed off, but bundles/current is $current" }
        }
    }

    private fun versionsStored(): List<Long> = platform.keys().mapNotNull(::parseBundleKeyOrNull)

    private fun record(version: Long): SignedBundle? =
        runWithoutWaiting { store.readRecord(version) }.valueOrNull()?.value

    private fun currentVersion(): Long = runWithoutWaiting { store.readCurrent() }.valueOrNull()?.value?.version ?: 0

    private fun revokedByCurrent(): Set<String> {
        val text = record(currentVersion())?.bytes?.toByteArray()?.decodeToString() ?: return emptySet()
        return (parseBundle(text) as? BundleParseResult.Valid)?.bundle?.revokedKeys.orEmpty()
    }
}
