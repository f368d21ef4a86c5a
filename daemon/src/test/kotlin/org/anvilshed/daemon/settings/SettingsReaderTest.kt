package org.anvilshed.daemon.settings

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import org.anvilshed.core.VmName
import org.anvilshed.core.bundle.generateOperatorKeyPair
import java.security.SecureRandom
import java.util.Base64
import kotlin.time.Duration.Companion.seconds

private val publicKey = Base64.getEncoder().encodeToString(generateOperatorKeyPair(SecureRandom()).public.encoded)

private val minimal = """
    [vm]
    name = "nbo-a-1"
    region = "nbo"
    zone = "nbo-a"
    [listen]
    callers = "127.0.0.1:0"
    peers = "127.0.0.1:0"
    operations = "127.0.0.1:0"
    [platform]
    url = "http://127.0.0.1:9000"
""".trimIndent() + "\n"

private fun valid(text: String): Settings = readSettings(text).shouldBeInstanceOf<SettingsResult.Valid>().settings

private fun faults(text: String): List<String> =
    readSettings(text).shouldBeInstanceOf<SettingsResult.Invalid>().faults.map { it.toString() }

/** Guards against settings that are read wrongly, and against faults that are not reported with their keys. */
class SettingsReaderTest :
    FunSpec({
        test("settings without optional keys get the documented defaults") {
            val settings = valid(minimal)
            settings.limits shouldBe LimitSettings(50_000, 32L * 1024 * 1024, null, 120.seconds, 64L * 1024 * 1024)
            settings.log shouldBe LogSettings(LogFormat.TEXT, LogLevel.INFO)
            settings.platform.requestTimeout shouldBe 1.seconds
            settings.peers shouldBe emptyList()
            settings.operators shouldBe emptyMap()
        }

        test("all settings are read") {
            val settings = valid(
                "revoked_keys = [\"chui\"]\n" + minimal + """
                [limits]
                records = 10
                queue = 3
                drain_limit_ms = 0
                [log]
                format = "json"
                level = "debug"
                [[peers]]
                name = "nbo-a-2"
                zone = "nbo-a"
                region = "nbo"
                address = "[::1]:7000"
                [[operators]]
                name = "amina"
                public_key = "$publicKey"
                """.trimIndent(),
            )
            settings.revokedKeys shouldBe setOf("chui")
            settings.limits.queue shouldBe 3
            settings.log shouldBe LogSettings(LogFormat.JSON, LogLevel.DEBUG)
            settings.peers.single().address shouldBe SocketAddress("::1", 7000)
            settings.peers.single().name shouldBe VmName("nbo-a-2")
            settings.operators.keys shouldBe setOf("amina")
        }

        test("every missing key is reported") {
            faults("log = 1\n") shouldContainExactlyInAnyOrder listOf(
                "log: unknown key; allowed are revoked_keys",
                "vm.name: is missing",
                "vm.region: is missing",
                "vm.zone: is missing",
                "listen.callers: is missing",
                "listen.peers: is missing",
                "listen.operations: is missing",
                "platform.url: is missing",
            )
        }

        test("all faults of a file are reported at once, with path and allowed values") {
            val found = faults(
                minimal.replace("nbo-a-1", "NBO.1").replace("9000", "9000/x") + """
                colour = "red"
                [limits]
                records = 0
                drain_limit_ms = "long"
                [log]
                level = "loud"
                [[peers]]
                name = "a"
                zone = "b"
                region = "c"
                address = "localhost:1"
                [[peers]]
                name = "a"
                zone = "b"
                region = "c"
                address = "127.0.0.1:0"
                [[operators]]
                name = "amina"
                public_key = "x"
                [surprise]
                key = 1
                """.trimIndent(),
            )
            val text = found.joinToString("\n")
            text shouldContain
                "surprise: unknown table; allowed are vm, listen, platform, limits, log, peers, operators"
            text shouldContain "vm.name: expected 1 to 63 lower-case letters"
            text shouldContain "platform.url: expected a URL"
            text shouldContain "platform.colour: unknown key; allowed are request_timeout_ms, url"
            text shouldContain "limits.records: expected an integer from 1 to 10000000, found 0"
            text shouldContain "limits.drain_limit_ms: expected an integer from 0 to 3600000, found \"long\""
            text shouldContain "log.level: expected one of debug, info, warn, error, found \"loud\""
            text shouldContain "peers[0].address: expected an address IP:port with a port from 1 to 65535"
            text shouldContain "peers[1].address: expected an address IP:port with a port from 1 to 65535"
            text shouldContain "peers[1].name: 'a' is given more than once"
            text shouldContain "operators[0].public_key: expected an Ed25519 public key in base64 (X.509)"
            found.size shouldBe 11
        }

        test("a file that is not TOML is reported as one fault") {
            faults("[vm\nname =").single() shouldContain "not a TOML document"
        }
    })
