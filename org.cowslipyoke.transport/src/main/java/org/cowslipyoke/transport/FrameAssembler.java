package org.cowslipyoke.transport;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** Cuts a byte stream into frames. Memory grows with received bytes, not with announced ones. */
final class FrameAssembler {

  private static final int FIRST_BYTES = 8 * 1024;

  private int lengthBytes;
  private int length;
  private byte[] array = new byte[0];
  private int filled;

  /** The result of {@link #next} if the buffer holds no whole frame. */
  static final byte[] NOTHING = new byte[0];

  /**
   * Returns the array of the next whole frame, or {@link #NOTHING} once the buffer is used up.
   *
   * @throws FieldException if a length is not permitted
   */
  byte[] next(ByteBuffer input) throws FieldException {
    while (lengthBytes < MessageCodec.LENGTH_BYTES) {
      if (!input.hasRemaining()) {
        return NOTHING;
      }
      length = (length << 8) | (input.get() & 0xff);
      lengthBytes++;
      if (lengthBytes == MessageCodec.LENGTH_BYTES) {
        checkLength();
      }
    }
    int count = Math.min(length - filled, input.remaining());
    if (array.length < filled + count) {
      int grown = Math.max(filled + count, Math.max(FIRST_BYTES, array.length * 2));
      array = Arrays.copyOf(array, Math.min(length, grown));
    }
    input.get(array, filled, count);
    filled += count;
    return filled < length ? NOTHING : take();
  }

  private byte[] take() {
    final byte[] whole = array.length == length ? array : Arrays.copyOf(array, length);
    lengthBytes = 0;
    length = 0;
    array = new byte[0];
    filled = 0;
    return whole;
  }

  private void checkLength() throws FieldException {
    if (length <= 0 || length > MessageCodec.MAX_FRAME_BYTES) {
      throw new FieldException(
          "frame of " + Integer.toUnsignedString(length) + " bytes is not permitted");
    }
  }
}
