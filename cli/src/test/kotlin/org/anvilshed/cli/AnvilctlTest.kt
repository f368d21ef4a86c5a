package org.anvilshed.cli

import com.github.ajalt.clikt.testing.CliktCommandTestResult
import com.github.ajalt.clikt.testing.test
import io.kotest.core.spec.style.FunSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.anvilshed.wire.platform.PlatformResult
import java.io.File
import java.nio.file.Files
import java.nio.file.attribute.PosixFilePermissions

private fun document(version: Long, requests: Int = 100): String = """
    format = 1
    version = $version
    comment = "number $version"
    [[regions]]
    name = "nbo"
    requests_per_second = $requests
    [[zones]]
    name = "nbo-a"
    region = "nbo"
""".trimIndent()

class AnvilctlTest :
    FunSpec({
        val directory = tempdir()

        fun file(name: String): File = File(directory, name)

        fun run(environment: FakeEnvironment, vararg arguments: String): CliktCommandTestResult =
            anvilctl(environment).test(arguments.toList())

        val keys = listOf("asha", "brice").associateWith { name ->
            run(FakeEnvironment(), "key", "generate", name, "--private-key", file("$name.key").path)
        }
        val settings = file("settings.toml").apply {
            writeText(
                "revoked_keys = []\n[platform]\nurl = \"http://127.0.0.1:1\"\n" + keys.values.joinToString("") {
                    it.stdout
                },
            )
        }

        fun signer(name: String) =
            arrayOf("--settings", settings.path, "--operator", name, "--key", file("$name.key").path)

        fun bundle(version: Long, requests: Int = 100): String =
            file("bundle-$version-$requests.toml").apply { writeText(document(version, requests)) }.path

        fun submit(environment: FakeEnvironment, version: Long, name: String = "asha", requests: Int = 100) =
            run(environment, "bundle", "submit", bundle(version, requests), *signer(name))

        fun signOff(environment: FakeEnvironment, version: Long, name: String = "brice", vararg more: String) =
            run(environment, "bundle", "sign-off", version.toString(), *signer(name), *more)

        test("a private key file is readable by its owner only and is never overwritten") {
            val path = file("asha.key").toPath()
            PosixFilePermissions.toString(Files.getPosixFilePermissions(path)) shouldBe "rw-------"
            val before = Files.readString(path)
            val again = run(FakeEnvironment(), "key", "generate", "asha", "--private-key", path.toString())
            again.statusCode shouldBe 1
            again.stderr shouldContain "never overwritten"
            Files.readString(path) shouldBe before
            keys.getValue("asha").output shouldNotContain before.trim()
        }

        test("a private key file that other users can read is refused") {
            val copy = file("open.key").apply { writeText(file("asha.key").readText()) }
            Files.setPosixFilePermissions(copy.toPath(), PosixFilePermissions.fromString("rw-r--r--"))
            val result = run(
                FakeEnvironment(), "bundle", "submit", bundle(1),
                "--settings", settings.path, "--operator", "asha", "--key", copy.path,
            )
            result.statusCode shouldBe 1
            result.stderr shouldContain "chmod 600"
        }

        test("check reports every fault of a document with exit code 1, and describes a valid document") {
            val bad = file("bad.toml").apply { writeText("format = 2\nversion = 0\n") }
            val result = run(FakeEnvironment(), "bundle", "check", bad.path, "--output", "json")
            result.statusCode shouldBe 1
            val details = Json.parseToJsonElement(result.stdout).jsonObject.getValue("details").jsonArray
            details.map { it.jsonPrimitive.content.substringBefore(':') } shouldContainExactly
                listOf("format", "version", "regions", "zones")
            val good = run(FakeEnvironment(), "bundle", "check", bundle(7))
            good.statusCode shouldBe 0
            good.stdout shouldContain "version 7 is valid"
        }

        test("a bundle that is submitted, examined and signed off appears in status and history") {
            val environment = FakeEnvironment()
            submit(environment, 1).statusCode shouldBe 0
            run(environment, "bundle", "status", "--settings", settings.path).stdout shouldContain "waiting:"
            val diff = run(environment, "bundle", "diff", "1", "--settings", settings.path, "--output", "json")
            val digest = Json.parseToJsonElement(diff.stdout).jsonObject.getValue("digest_after").jsonPrimitive.content
            signOff(environment, 1, "brice", "--digest", digest).statusCode shouldBe 0
            val status = run(environment, "bundle", "status", "--settings", settings.path, "--output", "json")
            val current = Json.parseToJsonElement(status.stdout).jsonObject.getValue("current").jsonObject
            current.getValue("signed_off_by").jsonPrimitive.content shouldBe "brice"
            current.getValue("activated_at").jsonPrimitive.content shouldBe "2026-12-04T18:00:00Z"
            submit(environment, 2)
            val history = run(environment, "bundle", "history", "--platform", "http://127.0.0.1:1").stdout.lines()
            history[1] shouldContain "number 2"
            history[2] shouldContain "1*"
        }

        test("a taken version, a forbidden sign-off and a wrong digest end with exit code 3 and name the reason") {
            val environment = FakeEnvironment()
            submit(environment, 1).statusCode shouldBe 0
            val conflicting = submit(environment, 1, "brice", requests = 200)
            conflicting.statusCode shouldBe 3
            conflicting.stderr shouldContain "submitted by asha before"
            signOff(environment, 1, "asha").statusCode shouldBe 3
            signOff(environment, 1, "brice", "--digest", "00").statusCode shouldBe 3
            signOff(environment, 9).stderr shouldContain "no bundle of version 9"
            signOff(environment, 1).statusCode shouldBe 0
            signOff(environment, 1).stderr shouldContain "signed off by brice before"
            submit(environment, 1).statusCode shouldBe 3
        }

        test("an outage and an uncertain submission end with exit code 4, and the latter says how to continue") {
            val environment = FakeEnvironment()
            environment.putFailure = PlatformResult.OutcomeUncertain("timeout")
            val uncertain = submit(environment, 1)
            uncertain.statusCode shouldBe 4
            uncertain.stderr shouldContain "--submission-id id-0"
            environment.isPlatformDown = true
            submit(environment, 1).statusCode shouldBe 4
            run(environment, "status", "--settings", settings.path).statusCode shouldBe 4
            run(environment, "lookup", "--vm", "http://127.0.0.1:1").statusCode shouldBe 4
        }

        test("usage errors end with exit code 2") {
            val wrong = listOf(
                listOf("bundle", "submit"),
                listOf("bundle", "check", "/nowhere.toml"),
                listOf("bundle", "sign-off", "x"),
                listOf("bundle", "status"),
                listOf("lookup"),
                listOf("unknown"),
                listOf("status", "--platform", "http://127.0.0.1:1", "--output", "xml"),
            )
            for (arguments in wrong) runCommand(anvilctl(FakeEnvironment()), arguments) shouldBe 2
            runCommand(anvilctl(FakeEnvironment()), listOf("--help")) shouldBe 0
        }

        test("all faults of a settings file are reported together") {
            val bad = file("bad-settings.toml").apply {
                writeText(
                    "revoked_keys = \"asha\"\n[[operators]]\nname = \"asha\"\npublic_key = \"AAAA\"\n[[operators]]\n",
                )
            }
            val result = run(FakeEnvironment(), "bundle", "status", "--settings", bad.path, "--output", "json")
            result.statusCode shouldBe 1
            Json.parseToJsonElement(result.stdout).jsonObject.getValue("details").jsonArray.size shouldBe 4
        }

        test("status shows the rows of all zones and marks a zone whose report is unreadable") {
            val environment = FakeEnvironment()
            environment.store(
                "status/nbo-a",
                """{"zone":"nbo-a","vms":[{"name":"nbo-a-1","state":"alive","age_ms":3}]}""",
            )
            environment.store("status/nbo-b", "{")
            val text = run(environment, "status", "--settings", settings.path).stdout
            text shouldContain Regex("nbo-a +nbo-a-1 +- +alive +- +3")
            text shouldContain Regex("nbo-b +\\(unreadable\\)")
        }

        test("status of one VM and lookup show the answer of the VM, and an error answer ends with exit code 3") {
            val environment = FakeEnvironment()
            environment.vmResults["http://vm/v1/status"] = VmResult.Response(
                200,
                """{"name":"nbo-a-1","seats":[{"scope":"zone/nbo-a","held":32,"of":64,"valid":true}]}""",
            )
            val status = run(environment, "status", "--vm", "http://vm/").stdout
            status shouldContain Regex("zone/nbo-a +32 +64 +true")
            status shouldContain "no peers"
            environment.vmResults["http://vm/v1/entry client=10.1.0.1"] = VmResult.Response(
                200,
                """{"bundle_version":4,"ttl_ms":5000,"entries":[{"vm":"nbo-a-1","url":"http://x","zone":"nbo-a"}]}""",
            )
            val lookup = run(environment, "lookup", "--vm", "http://vm", "--client", "10.1.0.1")
            lookup.stdout shouldContain Regex("nbo-a-1 +http://x +nbo-a +- +-")
            environment.vmResults["http://vm/v1/entry service=x"] =
                VmResult.Response(404, """{"message":"unknown service"}""")
            val refused = run(environment, "lookup", "--vm", "http://vm", "--service", "x")
            refused.statusCode shouldBe 3
            refused.stderr shouldContain "unknown service"
        }

        test("diff lists the paths of changed values only") {
            val result = run(FakeEnvironment(), "bundle", "diff", bundle(1), bundle(2, 200), "--output", "json")
            val changes = Json.parseToJsonElement(result.stdout).jsonObject.getValue("changes").jsonArray
            changes.map { (it as JsonObject).text("path") } shouldContainExactly
                listOf("version", "comment", "regions.nbo.requests_per_second")
        }

        test("help names the exit codes") {
            run(FakeEnvironment(), "--help").output shouldContain "Exit codes"
        }
    })
