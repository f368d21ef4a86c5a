package org.anvilshed.core.execution

import org.anvilshed.core.TargetName

/**
 * Complete answer of a target, kept so that duplicates of the request receive the same answer.
 *
 * @property status status code of the answer.
 * @property headers end-to-end headers in order; a name may occur more than once.
 * @property body complete body; must not be changed after construction.
 * @property target target that answered, or `null` if it is not known.
 */
public class RecordedAnswer(
    public val status: Int,
    public val headers: List<Pair<String, String>>,
    public val body: ByteArray,
    public val target: TargetName?,
) {
    /** Size that counts against [ExecutionLimits]: bytes of the body and characters of the header names and values. */
    public val bytes: Int = body.size + headers.sumOf { (name, value) -> name.length + value.length }
}
