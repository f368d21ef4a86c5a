package org.anvilshed.daemon

internal const val PLACEHOLDER: Int = 0
