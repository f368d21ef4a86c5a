package org.anvilshed.daemon.settings

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.shouldBe
import java.nio.file.Path
import kotlin.io.path.exists
import kotlin.io.path.readLines

private class DocumentedKey(val path: String, val range: String)

/** Guards against a settings page whose keys or ranges differ from those that the code accepts. */
class SettingsPageTest :
    FunSpec({
        val documented = readPage()

        test("the page lists exactly the keys that the code accepts") {
            val tables = listOf("vm", "listen", "platform", "limits", "log").map { "[$it]" }
            val arrays = listOf("peers", "operators").map { "[[$it]]" }
            val document = "unknown_key = 1\n" + (tables + arrays).joinToString("\n") { "$it\nunknown_key = 1" }
            val accepted = faultsOf(document).filter { "allowed are" in it.message }.flatMap { fault ->
                val table = fault.path.substringBeforeLast('.', "").substringBefore('[')
                val keys = fault.message.substringAfter("allowed are ").split(", ")
                keys.map { if (table.isEmpty()) it else "$table.$it" }
            }
            documented.map { it.path }.toSet() shouldBe accepted.toSet()
        }

        test("the page states the ranges that the code checks") {
            val ranged = documented.filter { it.range.matches(Regex("\\d+ to \\d+")) }
            ranged.shouldNotBeEmpty()
            for (key in ranged) {
                val (lowest, highest) = key.range.split(" to ")
                val tooHigh = highest.toLong() + 1
                val table = key.path.substringBefore('.')
                val faults = faultsOf("[$table]\n${key.path.substringAfter('.')} = $tooHigh\n")
                val expected = "expected an integer from $lowest to $highest, found $tooHigh"
                faults.map { it.path to it.message } shouldContain (key.path to expected)
            }
        }
    })

private fun faultsOf(document: String): List<SettingsFault> = (readSettings(document) as SettingsResult.Invalid).faults

private fun readPage(): List<DocumentedKey> {
    val page = generateSequence(Path.of("").toAbsolutePath()) { it.parent }
        .map { it.resolve("docs/settings.md") }
        .first { it.exists() }
    return page.readLines().filter { it.startsWith("| `") }.map { line ->
        val cells = line.split('|').map { it.trim() }
        DocumentedKey(cells[1].trim('`'), cells[4])
    }
}
