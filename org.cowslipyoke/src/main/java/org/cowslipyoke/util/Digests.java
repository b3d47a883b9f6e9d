package org.cowslipyoke.util;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.zip.CRC32C;

/** SHA-256 digests and CRC32C checksums of byte strings. */
public final class Digests {

  private Digests() {}

  /**
   * Returns the SHA-256 over the given parts. Each part is preceded by its length, so that
   * different splits of the same bytes give different digests.
   */
  public static byte[] sha256(byte[]... parts) {
    MessageDigest md = newSha256();
    for (byte[] p : parts) {
      md.update(ByteBuffer.allocate(Integer.BYTES).putInt(p.length).array());
      md.update(p);
    }
    return md.digest();
  }

  /** Returns the SHA-256 over the UTF-8 bytes of the given parts, as {@link #sha256(byte[][])}. */
  public static byte[] sha256(String... parts) {
    byte[][] bytes = new byte[parts.length][];
    for (int i = 0; i < parts.length; i++) {
      bytes[i] = parts[i].getBytes(StandardCharsets.UTF_8);
    }
    return sha256(bytes);
  }

  /** Returns the first 64 bits of {@link #sha256(byte[][])}, to compare contents. */
  public static long sha256Prefix(byte[]... parts) {
    return ByteBuffer.wrap(sha256(parts)).getLong();
  }

  /**
   * Returns the SHA-256 of the UTF-8 bytes, without length prefix, in hexadecimal. Used for bearer
   * keys.
   */
  public static String sha256Hex(String text) {
    byte[] d = newSha256().digest(text.getBytes(StandardCharsets.UTF_8));
    return HexFormat.of().formatHex(d);
  }

  /** Returns the CRC32C checksum of the bytes. */
  public static long crc32c(byte[] bytes) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, 0, bytes.length);
    return crc.getValue();
  }

  private static MessageDigest newSha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform provides SHA-256", e);
    }
  }
}
