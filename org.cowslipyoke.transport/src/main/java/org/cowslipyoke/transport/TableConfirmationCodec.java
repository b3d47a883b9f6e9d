package org.cowslipyoke.transport;

import org.cowslipyoke.refresh.TableConfirmation;
import org.cowslipyoke.util.MalformedResponseException;

/**
 * A confirmation of a table as one datagram: the array [format, vm, table, digest, as of,
 * reserved]. It goes to the same port as reports of loads, whose array has another length.
 */
public final class TableConfirmationCodec {

  private static final int FORMAT = 1;
  private static final int FIELDS = 6;

  /** First byte of a MessagePack array of {@link #FIELDS} elements. */
  private static final byte FIRST_BYTE = (byte) (0x90 | FIELDS);

  /** A decoded datagram: the name of the entry that read the table, and its confirmation. */
  public record Message(String vm, TableConfirmation confirmation) {}

  private TableConfirmationCodec() {}

  /** Returns whether a datagram claims to be a confirmation. */
  public static boolean isConfirmation(byte[] bytes, int length) {
    return length > 0 && bytes[0] == FIRST_BYTE;
  }

  /** Encodes a confirmation. */
  public static byte[] encode(Message m) {
    return Datagrams.encode(
        p -> {
          TableConfirmation c = m.confirmation();
          p.packArrayHeader(FIELDS).packInt(FORMAT).packString(m.vm()).packString(c.table());
          p.packLong(c.digest()).packLong(c.asOfMs()).packInt(0);
        });
  }

  /**
   * Decodes a datagram.
   *
   * @throws MalformedResponseException if it is no confirmation of this format
   */
  public static Message decode(byte[] bytes, int length) throws MalformedResponseException {
    return Datagrams.decode(
        bytes,
        length,
        "table confirmation",
        (u, f) -> {
          if (f.header() != FIELDS || f.count() != FORMAT) {
            throw new MalformedResponseException("unknown format of a table confirmation");
          }
          return new Message(f.name(), new TableConfirmation(f.name(), f.number(), f.number()));
        });
  }
}
