package org.anvilshed.core.admission

import org.anvilshed.core.MonotonicTime

/**
 * Place of one request in an [AdmissionQueue].
 *
 * @property worth priority of the request; a higher one is served first.
 * @property deadline end of the whole request.
 * @property arrivedAt when the request was offered.
 */
public class QueueTicket<out T : Any> internal constructor(
    public val request: T,
    public val worth: Double,
    public val deadline: MonotonicTime,
    public val arrivedAt: MonotonicTime,
    internal val sequence: Long,
)
