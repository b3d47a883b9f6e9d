package org.cowslipyoke.standin;

import java.util.Arrays;
import org.cowslipyoke.util.Digests;

/** Simulated KV cache content of a block, determined by its key and the weight version. */
final class KvBytes {

  private KvBytes() {}

  static byte[] of(String key, String weightVersion, int size) {
    byte[] pattern = Digests.sha256("kv-bytes", key, weightVersion);
    byte[] b = new byte[size];
    for (int at = 0; at < size; at += pattern.length) {
      System.arraycopy(pattern, 0, b, at, Math.min(pattern.length, size - at));
    }
    return b;
  }

  static boolean matches(byte[] bytes, String key, String weightVersion) {
    return Arrays.equals(bytes, of(key, weightVersion, bytes.length));
  }
}
