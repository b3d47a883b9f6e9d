package org.cowslipyoke.transport;

import java.nio.ByteBuffer;
import java.util.Arrays;
import org.cowslipyoke.util.MalformedResponseException;

/**
 * A report that one entry passes on to the others of its failure domain, and its confirmation: the
 * byte {@link #MARK}, which begins no MessagePack value and so no other report, a version, a type,
 * a token, and for a relayed report its bytes.
 */
public final class RelayedReportCodec {

  /** Bytes before a relayed report. */
  public static final int HEADER_BYTES = 7;

  private static final byte MARK = (byte) 0xc1;
  private static final byte VERSION = 1;
  private static final byte RELAYED = 1;
  private static final byte CONFIRMATION = 2;

  /**
   * A decoded datagram.
   *
   * @param confirmation whether it confirms the report with the token
   * @param token number that a confirmation repeats, 0 if none is asked for
   * @param report the relayed report, empty in a confirmation
   */
  public record Message(boolean confirmation, int token, byte[] report) {}

  private RelayedReportCodec() {}

  /** Returns whether a datagram claims to be of this kind. */
  public static boolean isRelayed(byte[] bytes, int length) {
    return length > 0 && bytes[0] == MARK;
  }

  /** Encodes a report that the receiver passes on. */
  public static byte[] encode(int token, byte[] report) {
    return bytes(RELAYED, token, report);
  }

  /** Encodes the confirmation that a report was passed on. */
  public static byte[] encodeConfirmation(int token) {
    return bytes(CONFIRMATION, token, new byte[0]);
  }

  private static byte[] bytes(byte type, int token, byte[] report) {
    return ByteBuffer.allocate(HEADER_BYTES + report.length)
        .put(MARK)
        .put(VERSION)
        .put(type)
        .putInt(token)
        .put(report)
        .array();
  }

  /**
   * Decodes a datagram.
   *
   * @throws MalformedResponseException if it is of another version or type, or if its report would
   *     be relayed again
   */
  public static Message decode(byte[] bytes, int length) throws MalformedResponseException {
    if (length < HEADER_BYTES || !isRelayed(bytes, length) || bytes[1] != VERSION) {
      throw new MalformedResponseException("unknown format of a relayed report");
    }
    byte type = bytes[2];
    byte[] report = Arrays.copyOfRange(bytes, HEADER_BYTES, length);
    if ((type != RELAYED && type != CONFIRMATION) || isRelayed(report, report.length)) {
      throw new MalformedResponseException("malformed relayed report");
    }
    return new Message(type == CONFIRMATION, ByteBuffer.wrap(bytes, 3, 4).getInt(), report);
  }
}
