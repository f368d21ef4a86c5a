package org.anvilshed.core.execution

import org.anvilshed.core.TargetName

/**
 * Complete answer of a target, kept so that a duplicate of its request can receive it.
 *
 * @property headers end-to-end headers in order; a name may occur more than once.
 * @property body complete body; not to be changed after construction.
 * @property target target that answered, if known.
 */
public class RecordedAnswer(
    public val status: Int,
    public val headers: List<Pair<String, String>>,
    public val body: ByteArray,
    public val target: TargetName?,
) {
    /** Bytes that this answer counts against [ExecutionLimits]: body and header texts. */
    public val bytes: Int = body.size + headers.sumOf { (name, value) -> name.length + value.length }
}
