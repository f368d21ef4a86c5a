package org.anvilshed.core.execution

/**
 * Limits on the memory of [ExecutionRecords].
 *
 * @property records largest number of records; new requests are refused when it is reached.
 * @property answerBytes size in bytes of the largest answer that is recorded.
 * @property totalAnswerBytes largest total size in bytes of all recorded answers.
 */
public data class ExecutionLimits(
    public val records: Int = 50_000,
    public val answerBytes: Int = 64 * 1024,
    public val totalAnswerBytes: Long = 32L * 1024 * 1024,
)
