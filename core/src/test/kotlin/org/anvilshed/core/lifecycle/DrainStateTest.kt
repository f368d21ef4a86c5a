package org.anvilshed.core.lifecycle

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.anvilshed.core.MonotonicTime
import org.anvilshed.core.VmName
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

private val SELF = VmName("nbo-a-1")
private val PEER = VmName("nbo-a-2")
private val START = MonotonicTime(1_000)
private val TIME_TO_LIVE = 5.seconds

class DrainStateTest :
    FunSpec({
        test("a VM without a stop signal serves and is listed") {
            val state = DrainState(SELF)
            state.step(START + 1000.seconds) shouldBe DrainStep.Serve
            state.phase shouldBe DrainPhase.SERVING
            state.mayList(SELF) { false } shouldBe true
            state.mayList(PEER) { true } shouldBe false
        }

        test("an idle VM exits 2 s after the last lookup answer that lists it has expired") {
            val state = DrainState(SELF)
            state.requestStop(START, TIME_TO_LIVE)
            state.phase shouldBe DrainPhase.LEAVING
            state.mayList(SELF) { false } shouldBe false
            state.acceptsNewRequests shouldBe true
            state.step(START + 7.seconds - 1.nanoseconds) shouldBe DrainStep.Wait(0, 1.nanoseconds)
            state.step(START + 7.seconds) shouldBe DrainStep.Exit(0)
            state.phase shouldBe DrainPhase.CLOSED
            state.begin() shouldBe false
        }

        test("a lookup answer with a longer time to live than the present one prolongs the wait") {
            val state = DrainState(SELF)
            state.recordListed(START, 9.seconds)
            state.requestStop(START + 1.seconds, TIME_TO_LIVE)
            state.step(START + 11.seconds - 1.nanoseconds) shouldBe DrainStep.Wait(0, 1.nanoseconds)
            state.step(START + 11.seconds) shouldBe DrainStep.Exit(0)
        }

        test("the VM does not exit before its last request has ended") {
            val state = DrainState(SELF)
            state.begin()
            state.requestStop(START, TIME_TO_LIVE)
            state.begin() shouldBe true
            state.end()
            state.step(START + 119.seconds) shouldBe DrainStep.Wait(1, 0.seconds)
            state.end()
            state.step(START + 119.seconds) shouldBe DrainStep.Exit(0)
            shouldThrow<IllegalStateException> { DrainState(SELF).end() }
        }

        test("after a second signal new requests are refused, and the VM waits only for requests in flight") {
            val state = DrainState(SELF)
            state.begin()
            state.requestStop(START, TIME_TO_LIVE)
            state.requestStop(START + 1.seconds, TIME_TO_LIVE)
            state.phase shouldBe DrainPhase.REFUSING
            state.acceptsNewRequests shouldBe false
            state.step(START + 1.seconds) shouldBe DrainStep.Wait(1, 0.seconds)
            state.end()
            state.step(START + 1.seconds) shouldBe DrainStep.Exit(0)
        }

        test("requests in flight at the drain limit make the VM exit with code 3, and the code does not change") {
            val state = DrainState(SELF, drainLimit = 10.seconds)
            state.begin()
            state.requestStop(START, TIME_TO_LIVE)
            state.step(START + 10.seconds - 1.nanoseconds) shouldBe DrainStep.Wait(1, 0.seconds)
            state.step(START + 10.seconds) shouldBe DrainStep.Exit(3)
            state.end()
            state.step(START + 11.seconds) shouldBe DrainStep.Exit(3)
        }

        test("an idle VM exits with code 0 at the drain limit even if lookup answers still list it") {
            val state = DrainState(SELF, drainLimit = 3.seconds)
            state.requestStop(START, TIME_TO_LIVE)
            state.step(START + 3.seconds) shouldBe DrainStep.Exit(0)
        }

        // Guards against an exit between the arrival of a request and its counting.
        test("a concurrent exit ends no request that has begun") {
            val pool = Executors.newFixedThreadPool(3)
            try {
                repeat(2_000) {
                    val state = DrainState(SELF)
                    val inFlight = AtomicInteger()
                    val cut = AtomicBoolean()
                    state.requestStop(START, TIME_TO_LIVE)
                    val callers = List(2) {
                        Callable {
                            var requests = 0
                            while (requests++ < 50 && state.begin()) {
                                inFlight.incrementAndGet()
                                if (state.phase == DrainPhase.CLOSED) cut.set(true)
                                inFlight.decrementAndGet()
                                state.end()
                            }
                        }
                    }
                    val exit = Callable { while (state.step(START + 8.seconds) !is DrainStep.Exit) Thread.yield() }
                    pool.invokeAll(callers + exit).forEach { it.get() }
                    cut.get() shouldBe false
                    inFlight.get() shouldBe 0
                }
            } finally {
                pool.shutdown()
            }
        }
    })
