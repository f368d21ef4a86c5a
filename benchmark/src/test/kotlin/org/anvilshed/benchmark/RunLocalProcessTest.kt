package org.anvilshed.benchmark

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.anvilshed.standins.LocalDeployment
import org.anvilshed.standins.Programs
import org.anvilshed.standins.REGIE
import org.anvilshed.standins.RunLocal
import java.nio.file.Files
import kotlin.io.path.ExperimentalPathApi
import kotlin.io.path.deleteRecursively

/** Guards the whole path that `bin/run-local` shows: operators, lookups, reads, bookings and graceful shutdown. */
class RunLocalProcessTest :
    FunSpec({
        @OptIn(ExperimentalPathApi::class)
        test("a deployment serves lookups, reads and bookings and stops with exit code 0") {
            val folder = Files.createTempDirectory("anvilshed-test")
            val programs = Programs.onClassPath(System.getProperty("java.class.path"))
            LocalDeployment(REGIE, programs, folder).use { deployment ->
                val local = RunLocal(deployment, ::println)
                deployment.start()
                local.publish()
                local.sendRequests()
                local.stop() shouldBe true
            }
            folder.deleteRecursively()
        }
    })
