package org.anvilshed.benchmark

import io.kotest.matchers.collections.shouldBeEmpty
import org.anvilshed.standins.CHOKAA
import org.anvilshed.standins.LocalDeployment
import org.anvilshed.standins.Programs
import org.anvilshed.standins.SampleDeployment
import org.anvilshed.standins.waitUntil
import java.nio.file.Files
import java.util.concurrent.CompletableFuture
import kotlin.io.path.ExperimentalPathApi
import kotlin.io.path.deleteRecursively
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A running deployment of processes with a bundle in force, and its operators. */
internal class ProcessScenario(val deployment: LocalDeployment, val operators: OperatorActions) {
    val vms: List<String> = deployment.sample.vms.map { it.name }

    /**
     * Starts an open-loop load on [entries] and returns after more than ten correct answers or the end of the load.
     *
     * @param entries names of the entry VMs that answer the lookups.
     * @param rate mean requests per second.
     */
    fun startLoad(
        duration: Duration,
        seed: Long,
        entries: List<String> = vms,
        rate: Double = 60.0,
        kinds: List<LoadRequestKind> = loadKinds(deployment.sample, LoadProfile.EVENING),
    ): RunningLoad {
        val plan = LoadPlan(kinds, rate, 0.milliseconds, duration, seed)
        val run = LoadRun(plan, LoadDestination(entries.map { "http://${deployment.addresses.getValue(it).callers}" }))
        val result = CompletableFuture.supplyAsync { run.use { it.run() } }
        waitUntil("the load gets correct answers", 60.seconds) {
            run.result.count(CallerOutcome.CORRECT) > 10 ||
                result.isDone
        }
        return RunningLoad(run, result)
    }

    /**
     * Fails if a non-idempotent request of [load] ran more than once, if the targets' log contradicts the answer that
     * its caller received, or if a target ever ran more requests at a time than it has slots.
     */
    fun checkExecutions(load: LoadResult) {
        load.contradictions(deployment.executions()).shouldBeEmpty()
        deployment.targetCounters().values.filter { it.peak > it.slots }.shouldBeEmpty()
    }
}

/** A load that runs until its planned end or until [stop]. */
internal class RunningLoad(private val run: LoadRun, private val result: CompletableFuture<LoadResult>) {
    /** Sends no more requests, waits for those in flight and returns the result. */
    fun stop(): LoadResult {
        run.isStopped = true
        return result.get()
    }

    /** Number of correct answers so far. */
    val correct: Long get() = run.result.count(CallerOutcome.CORRECT)
}

/**
 * Runs [test] on a new deployment of [sample], then ends its processes and deletes its files. If the test fails, the
 * files stay.
 */
@OptIn(ExperimentalPathApi::class)
internal fun withDeployment(sample: SampleDeployment = CHOKAA, test: ProcessScenario.() -> Unit) {
    val folder = Files.createTempDirectory("anvilshed-test")
    val programs = Programs.onClassPath(System.getProperty("java.class.path"))
    LocalDeployment(sample, programs, folder).use { deployment ->
        deployment.start()
        OperatorActions(deployment).use { operators ->
            val scenario = ProcessScenario(deployment, operators)
            operators.publish(1, deployment.bundleText())
            scenario.vms.forEach { deployment.awaitServing(it, 1) }
            scenario.test()
        }
    }
    folder.deleteRecursively()
}
