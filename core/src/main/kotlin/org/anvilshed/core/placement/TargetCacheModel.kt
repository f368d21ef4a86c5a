package org.anvilshed.core.placement

/**
 * Estimates which of the objects that this VM sent to one target are still in the target's cache.
 *
 * A target caches a limited number of objects, and other VMs send objects to it as well. How many of this VM's objects
 * stay cached is learned from the processing time of requests for objects that were sent before. Not thread-safe.
 */
internal class TargetCacheModel {
    private val lastSends = LinkedHashMap<String, Long>(INITIAL_MAP_CAPACITY, MAP_LOAD_FACTOR, true)
    private var sends = 0L

    /** Estimated number of requests with objects after which an object is no longer cached. */
    private var retainedObjects = INITIAL_RETAINED_OBJECTS

    /** Returns how many requests with objects were sent since [key] was last sent, or `null` if it is not recorded. */
    fun ageOrNull(key: String): Long? = lastSends[key]?.let { sends - it }

    /** Returns whether the target probably still has [key] cached. */
    fun probablyCaches(key: String): Boolean = ageOrNull(key)?.let { it < retainedObjects } ?: false

    /** Records that a request for [key] was sent. */
    fun recordSent(key: String) {
        lastSends[key] = ++sends
        if (lastSends.size > MAXIMUM_RETAINED_OBJECTS) lastSends.remove(lastSends.keys.first())
    }

    /** Records whether the target still had an object [cached] that was last sent [age] requests before. */
    fun learn(age: Long, cached: Boolean) {
        if (cached && age >= retainedObjects * GROWTH_THRESHOLD) {
            retainedObjects = (retainedObjects + 1).coerceAtMost(MAXIMUM_RETAINED_OBJECTS.toDouble())
        }
        if (!cached && age < retainedObjects) retainedObjects += (age - retainedObjects) * LEARNING_WEIGHT
        retainedObjects = retainedObjects.coerceAtLeast(MINIMUM_RETAINED_OBJECTS)
    }

    private companion object {
        const val INITIAL_MAP_CAPACITY = 64
        const val MAP_LOAD_FACTOR = 0.75f
        const val INITIAL_RETAINED_OBJECTS = 48.0
        const val MINIMUM_RETAINED_OBJECTS = 4.0
        const val MAXIMUM_RETAINED_OBJECTS = 512

        /** A hit raises [retainedObjects] only if the age of the object is at least this fraction of it. */
        const val GROWTH_THRESHOLD = 0.8
        const val LEARNING_WEIGHT = 0.1
    }
}
