package org.anvilshed.core.placement

/**
 * Objects that this VM sent to one target, the latest first, to tell which of them the target still works on faster.
 *
 * A target keeps a limited number of objects, and other VMs send objects to it as well; how many of this VM's own it
 * keeps is learned from the work that repeated objects took. Not thread-safe.
 */
internal class ObjectMemory {
    private val lastSends = LinkedHashMap<String, Long>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    private var sends = 0L
    private var retention = FIRST_RETENTION

    /** Returns how many requests with objects were sent since [key] was, or `null` if it is not remembered. */
    fun ageOrNull(key: String): Long? = lastSends[key]?.let { sends - it }

    /** Returns whether the target probably still knows [key]. */
    fun knows(key: String): Boolean = ageOrNull(key)?.let { it < retention } ?: false

    /** Records that a request for [key] was sent. */
    fun recordSent(key: String) {
        lastSends[key] = ++sends
        if (lastSends.size > LARGEST_RETENTION) lastSends.remove(lastSends.keys.first())
    }

    /** Takes over that an object that was sent [age] requests before was [known] to the target, or was not. */
    fun learn(age: Long, known: Boolean) {
        if (known &&
            age >= retention * NEAR_SHARE
        ) {
            retention = (retention + 1).coerceAtMost(LARGEST_RETENTION.toDouble())
        }
        if (!known && age < retention) retention += (age - retention) * LEARNING_WEIGHT
        retention = retention.coerceAtLeast(SMALLEST_RETENTION)
    }

    private companion object {
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
        const val FIRST_RETENTION = 48.0
        const val SMALLEST_RETENTION = 4.0
        const val LARGEST_RETENTION = 512
        const val NEAR_SHARE = 0.8
        const val LEARNING_WEIGHT = 0.1
    }
}
