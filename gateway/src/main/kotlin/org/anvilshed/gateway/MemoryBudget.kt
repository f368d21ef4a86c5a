package org.anvilshed.gateway

/**
 * Memory that all requests of the process may use together for one purpose. Confined to the event loop.
 *
 * @param limitBytes largest number of bytes that may be reserved at once.
 */
internal class MemoryBudget(private val limitBytes: Long) {
    private var reservedBytes = 0L

    /** Returns an empty reservation, which must be released when its memory is not used any more. */
    fun newReservation(): Reservation = Reservation()

    /** Part of the budget that one request uses. */
    inner class Reservation {
        private var bytes = 0

        /** Adds [additionalBytes] if the budget has them; returns whether it had. */
        fun tryGrow(additionalBytes: Int): Boolean {
            if (reservedBytes + additionalBytes > limitBytes) return false
            reservedBytes += additionalBytes
            bytes += additionalBytes
            return true
        }

        /** Returns the reserved bytes to the budget. */
        fun release() {
            reservedBytes -= bytes
            bytes = 0
        }
    }
}
