package org.anvilshed.cli

import org.anvilshed.core.bundle.parsePrivateKeyOrNull
import java.io.File
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.file.FileAlreadyExistsException
import java.nio.file.Files
import java.nio.file.StandardOpenOption
import java.nio.file.attribute.PosixFilePermission
import java.nio.file.attribute.PosixFilePermissions
import java.security.PrivateKey

private val OWNER_PERMISSIONS = setOf(PosixFilePermission.OWNER_READ, PosixFilePermission.OWNER_WRITE)
private val NON_OWNER_PERMISSIONS = PosixFilePermission.entries.filter { !it.name.startsWith("OWNER") }

/**
 * Writes the [base64] text of a private key to the new file [file]. The file is created with owner-only permissions, so
 * that other users cannot read it at any time.
 *
 * @throws CommandFailure if [file] exists or cannot be written.
 */
internal fun writePrivateKey(file: File, base64: String) {
    val options = setOf(StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE)
    try {
        val attribute = PosixFilePermissions.asFileAttribute(OWNER_PERMISSIONS)
        Files.newByteChannel(file.toPath(), options, attribute).use {
            it.write(ByteBuffer.wrap("$base64\n".toByteArray()))
        }
    } catch (fault: FileAlreadyExistsException) {
        throw invalidInput("$file exists; a private key is never overwritten", cause = fault)
    } catch (fault: IOException) {
        throw invalidInput("$file cannot be written: ${fault.message}", cause = fault)
    }
}

/**
 * Reads a private key.
 *
 * @throws CommandFailure if [file] holds no Ed25519 private key or is accessible to users other than its owner.
 */
internal fun readPrivateKey(file: File): PrivateKey {
    if (Files.getPosixFilePermissions(file.toPath()).any { it in NON_OWNER_PERMISSIONS }) {
        throw invalidInput("$file is accessible to others; run chmod 600 on it")
    }
    return parsePrivateKeyOrNull(file.readText().trim())
        ?: throw invalidInput("$file holds no Ed25519 private key (PKCS #8) in base64")
}
