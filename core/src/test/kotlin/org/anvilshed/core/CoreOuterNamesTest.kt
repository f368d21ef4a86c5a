package org.anvilshed.core

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.SerialDescriptor
import org.anvilshed.core.bundle.SignedBundle
import org.anvilshed.core.seats.ShareLedger

/** Returns the descriptor of the value that a value class is written as, or else this descriptor. */
@OptIn(ExperimentalSerializationApi::class)
private fun SerialDescriptor.written(): SerialDescriptor = if (isInline) getElementDescriptor(0).written() else this

/** Returns one line for each field of [descriptor] in the order of writing: name, kind, nullability, optionality. */
@OptIn(ExperimentalSerializationApi::class)
private fun fieldLines(descriptor: SerialDescriptor, indent: String = ""): List<String> =
    (0 until descriptor.elementsCount).flatMap { index ->
        val field = descriptor.getElementDescriptor(index)
        val nullable = if (field.isNullable) " nullable" else ""
        val optional = if (descriptor.isElementOptional(index)) " optional" else ""
        val line = "$indent${descriptor.getElementName(index)} ${field.written().kind}$nullable$optional"
        listOf(line) + fieldLines(field.written(), "$indent  ")
    }

/**
 * Compares the fields of stored objects with those of a build from before the renaming of properties. This module has
 * no JSON format; the wire module compares the JSON texts of the same classes.
 */
class CoreOuterNamesTest :
    FunSpec({
        test("an older build could not read this build's share ledger with other names, order or optionality") {
            fieldLines(ShareLedger.serializer().descriptor).joinToString("\n") shouldBe """
                seats INT
                members LIST
                  0 CLASS
                    identity CLASS
                      name STRING
                      incarnation LONG
                    zone STRING
                    address STRING
                    renewal LONG
                    writeId LONG
                    guardian CLASS nullable optional
                      name STRING
                      incarnation LONG
                    demand DOUBLE optional
                    leaving BOOLEAN optional
                    isolationMilliseconds LONG optional
                    deadlineMilliseconds LONG optional
                owners LIST
                  0 CLASS
                    first INT
                    count INT
                    owner CLASS
                      name STRING
                      incarnation LONG
            """.trimIndent()
        }

        test("an older build could not read this build's signed bundle with other names, order or optionality") {
            fieldLines(SignedBundle.serializer().descriptor).joinToString("\n") shouldBe """
                bytes STRING
                author STRING
                authorSignature STRING
                submissionId STRING
                signOff CLASS nullable optional
                  operator STRING
                  signature STRING
                  signOffId STRING
                  activation CLASS
                    activatedAt STRING
                    fractions LIST
                      0 CLASS
                        service STRING
                        from STRING
                        to STRING
                        fraction DOUBLE
            """.trimIndent()
        }
    })
