package org.anvilshed.cli

import com.github.ajalt.clikt.parameters.groups.provideDelegate
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import org.anvilshed.core.bundle.MoveFraction
import org.anvilshed.core.bundle.SignedBundle
import org.anvilshed.core.bundle.digest
import org.anvilshed.core.bundle.effectiveFractions
import org.anvilshed.wire.platform.BundleProcedures
import org.anvilshed.wire.platform.BundleStore
import org.anvilshed.wire.platform.PlatformClient
import kotlin.time.Instant

/** `anvilctl bundle status`. */
internal class BundleStatusCommand(private val environment: Environment) :
    AnvilctlCommand(
        "status",
        "Show the bundle in force, the present fractions of its planned moves and the bundles that wait for a " +
            "sign-off. With --settings, also complete a sign-off that was interrupted before bundles/current named " +
            "the bundle.",
    ) {
    private val platform by PlatformOptions()
    private val network by NetworkOptions()

    override fun execute(): CommandResult {
        val verifier = platform.settings?.verifier()
        return environment.withPlatform(platform.url, CLIENT_NAME, network.timeout) { client ->
            if (verifier != null) BundleProcedures(client, verifier).repairCurrent().orFail()
            report(client)
        }
    }

    private suspend fun report(client: PlatformClient): CommandResult {
        val store = BundleStore(client)
        val current = store.readCurrent().orNullIfAbsentOrMalformed()?.value?.version ?: 0
        val record = if (current > 0) store.readRecord(current).orNullIfAbsentOrMalformed()?.value else null
        val pending = store.listVersions().orFail().filter { it > current }
            .mapNotNull { version ->
                store.readRecord(version).orNullIfAbsentOrMalformed()?.let { version to it.value }
            }
        val moves = record?.let { moveFractions(it, environment.now()) }.orEmpty()
        return CommandResult(text(current, record, moves, pending), json(current, record, moves, pending))
    }

    private fun moveFractions(record: SignedBundle, now: Instant): List<MoveFraction> {
        val activation = record.signOff?.activation ?: return emptyList()
        return parseDocument(record.bytes).effectiveFractions(activation, now)
    }

    private fun text(
        current: Long,
        record: SignedBundle?,
        moves: List<MoveFraction>,
        pending: List<Pair<Long, SignedBundle>>,
    ): String {
        val lines = mutableListOf<String>()
        lines += if (record == null) "no bundle is in force" else textTable(HEADER, listOf(row(current, record)))
        if (moves.isNotEmpty()) {
            val rows = moves.map { listOf(it.service.value, it.from.value, it.to.value, percent(it.fraction)) }
            lines += textTable(listOf("MOVE OF", "FROM", "TO", "NOW"), rows)
        }
        lines += if (pending.isEmpty()) {
            "no bundle waits for a sign-off"
        } else {
            "waiting:\n" + textTable(HEADER, pending.map { row(it.first, it.second) })
        }
        return lines.joinToString("\n\n")
    }

    private fun json(
        current: Long,
        record: SignedBundle?,
        moves: List<MoveFraction>,
        pending: List<Pair<Long, SignedBundle>>,
    ): JsonElement = buildJsonObject {
        put("version", JsonPrimitive(current))
        if (record != null) put("current", recordJson(current, record))
        val moveList = moves.map { move ->
            buildJsonObject {
                put("service", JsonPrimitive(move.service.value))
                put("from", JsonPrimitive(move.from.value))
                put("to", JsonPrimitive(move.to.value))
                put("fraction", JsonPrimitive(move.fraction))
            }
        }
        put("moves", JsonArray(moveList))
        put("pending", JsonArray(pending.map { recordJson(it.first, it.second) }))
    }

    private companion object {
        val HEADER = listOf("VERSION", "DIGEST", "AUTHOR", "SIGNED OFF BY", "ACTIVATED AT")
        const val DIGEST_DIGITS = 12

        fun row(version: Long, record: SignedBundle): List<String> = listOf(
            version.toString(),
            record.bytes.digest().value.take(DIGEST_DIGITS),
            record.author,
            record.signOff?.operator ?: "-",
            record.signOff?.activation?.activatedAt?.toString() ?: "-",
        )

        fun percent(fraction: Double): String = "%.1f%%".format(java.util.Locale.ROOT, fraction * 100)
    }
}
