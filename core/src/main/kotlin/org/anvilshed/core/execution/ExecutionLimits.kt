package org.anvilshed.core.execution

/**
 * Bounds of [ExecutionRecords].
 *
 * @property records largest number of records; when reached, new requests are refused.
 * @property answerBytes largest answer that is recorded, in bytes.
 * @property totalAnswerBytes largest sum of the bytes of all recorded answers.
 */
public data class ExecutionLimits(
    public val records: Int = 50_000,
    public val answerBytes: Int = 64 * 1024,
    public val totalAnswerBytes: Long = 32L * 1024 * 1024,
)
