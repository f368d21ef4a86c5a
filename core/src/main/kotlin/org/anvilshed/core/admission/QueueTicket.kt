package org.anvilshed.core.admission

import org.anvilshed.core.MonotonicTime

/**
 * One request in an [AdmissionQueue].
 *
 * @property priority a request with a higher priority is served first.
 * @property deadline end of the whole request, not only of its wait.
 * @property arrivedAt time at which the request was offered.
 */
public class QueueTicket<out T : Any> internal constructor(
    public val request: T,
    public val priority: Double,
    public val deadline: MonotonicTime,
    public val arrivedAt: MonotonicTime,
    internal val sequence: Long,
)
