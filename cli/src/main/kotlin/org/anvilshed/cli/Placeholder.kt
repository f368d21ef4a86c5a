package org.anvilshed.cli

internal const val PLACEHOLDER: Int = 0
