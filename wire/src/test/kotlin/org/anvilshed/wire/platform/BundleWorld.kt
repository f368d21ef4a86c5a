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

/** VMs from this index on reach no platform, only peers. */
private const val FIRST_CUT_VM = 3
private val OPERATORS = listOf("asha", "brice", "chedi", "asha", "brice", "chedi", "asha", "brice", "chedi", "dora")

/** Fails the sequence with the broken promise. */
private fun check(condition: Boolean, promise: () -> String) {
    if (!condition) throw AssertionError(promise())
}

/** Operators, platform and VMs of one sequence, and the oracle of section 2, promise 8. */
class BundleWorld {
    /** Number of results and accepted bundles by kind; shows that the sequences reach the cases they are for. */
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
            checkPromises()
        }
        heal()
        checkHealed()
    }

    private fun execute(command: SequenceCommand) {
        when (command) {
            is SequenceCommand.OperatorCommand -> executeOperator(command)

            is SequenceCommand.Outage -> isOutage = command.isOn

            SequenceCommand.DeliverDelayed -> platform.deliverDelayed()

            is SequenceCommand.ReadPlatform -> readPlatform(command.vm % FIRST_CUT_VM, effective(command.fate))

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

            is SequenceCommand.Step -> waiting(command.procedure)?.step(effective(command.fate))

            is SequenceCommand.StepWrite -> waiting(command.procedure)?.let { process ->
                while (process.isReading) process.step(effective(CallFate.DELIVER))
                process.step(effective(command.fate))
            }

            is SequenceCommand.Finish -> waiting(command.procedure)?.let(::finish)

            is SequenceCommand.Crash -> waiting(command.procedure)?.let { processes -= it }
        }
    }

    private fun effective(fate: CallFate): CallFate = if (isOutage) CallFate.OUTAGE else fate

    private fun procedures(gate: CallGate) = BundleProcedures(platform.client(gate), TestBundles.verifier)

    private fun waiting(index: Int): OperatorProcess<*>? {
        processes.removeIf { !it.isWaiting }
        return if (processes.isEmpty()) null else processes[index % processes.size]
    }

    private fun finish(process: OperatorProcess<*>) {
        while (process.isWaiting) process.step(effective(CallFate.DELIVER))
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
                val winner = submittedIds.getOrPut(version) { id }
                check(winner == id) { "both $winner and $id were told that version $version is theirs" }
                check(stored?.submissionId == id) {
                    "$id was told submitted, but the record is ${stored?.submissionId}"
                }
            }

            is SubmitResult.VersionTaken -> {
                check(stored?.author == result.existingAuthor && stored.submissionId == result.existingSubmissionId) {
                    "$id was told that ${result.existingAuthor} won version $version, but ${stored?.author} did"
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
                check(stored?.signOffId == id) { "$id was told signed off, but the record has ${stored?.signOffId}" }
                check(current >= version) { "$id was told signed off, but bundles/current is $current" }
                highestReported = maxOf(highestReported, version)
            }

            is SignOffResult.Superseded -> check(stored?.signOffId == id && current > version) {
                "$id was told superseded, but the record has ${stored?.signOffId} and bundles/current is $current"
            }

            is SignOffResult.AlreadySignedOff -> {
                check(stored?.operator == result.operator) { "$id was told the wrong winner ${result.operator}" }
                check(current >= version) { "$id was told already signed off, but bundles/current is $current" }
                idsWithoutEffect += id
            }

            is ProcedureFailure.Rejected, is ProcedureFailure.Unreachable -> idsWithoutEffect += id

            is SignOffResult.Refused -> check(stored?.signOffId == id) {
                "$id was told that its sign-off is refused, but the record has ${stored?.signOffId}"
            }

            is ProcedureFailure.Uncertain -> Unit
        }
    }

    private fun readPlatform(vm: Int, fate: CallFate) {
        val client = BundleStore(platform.client { if (it.endsWith("current")) fate else CallFate.DELIVER })
        val record = runWithoutWaiting {
            client.readCurrent().valueOrNull()?.let { client.readRecord(it.value.version).valueOrNull() }
        }
        record?.let { offer(vm, it.value) }
    }

    private fun heartbeat(from: Int, to: Int, reply: ReplyFate) {
        if (from == to || !vms[to].requests(vms[from], now)) return
        val signed = vms[from].state.inForce?.signed ?: return
        when (reply) {
            ReplyFate.IN_TIME -> offer(to, signed)
            ReplyFate.LATE -> lateReplies += to to signed
            ReplyFate.LOST -> Unit
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

    private fun checkPromises() {
        vms.forEachIndexed { index, vm ->
            check(vm.state.version >= versionsSeen[index]) {
                "the version on ${vm.name} fell from ${versionsSeen[index]} to ${vm.state.version}"
            }
            versionsSeen[index] = vm.state.version
        }
        val pointers = platform.bodies(CURRENT_BUNDLE_KEY).map { it.decodeToString() }
        val versions = pointers.map { Regex("\"version\":(\\d+)").find(it)?.groupValues?.get(1)?.toLong() ?: 0 }
        check(versions.zipWithNext().all { it.first < it.second }) { "bundles/current fell: $versions" }
    }

    private fun heal() {
        isOutage = false
        platform.deliverDelayed()
        deliverLateReplies()
        while (true) finish(waiting(0) ?: break)
        checkPromises()
        runWithoutWaiting { procedures { CallFate.DELIVER }.repairCurrent() }
        repeat(VM_COUNT) { round ->
            now += 31.seconds
            for (vm in 0 until FIRST_CUT_VM) readPlatform(vm, CallFate.DELIVER)
            for (vm in 0 until VM_COUNT) heartbeat((vm + round) % VM_COUNT, vm, ReplyFate.IN_TIME)
        }
        checkPromises()
    }

    private fun checkHealed() {
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
