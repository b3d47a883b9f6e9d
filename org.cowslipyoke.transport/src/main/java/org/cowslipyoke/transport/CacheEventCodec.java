package org.cowslipyoke.transport;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.cowslipyoke.relay.CacheContents;
import org.cowslipyoke.relay.CacheContents.Change;
import org.cowslipyoke.relay.CacheEventBatch;
import org.cowslipyoke.util.MalformedResponseException;

/**
 * Cache events of a node as one datagram: the array [format, address, epoch, since, next, age,
 * clock, events], where each event is [number, salt, part, tokens]. It goes to the same port as
 * reports of loads, whose array has another length.
 */
public final class CacheEventCodec {

  private static final int FORMAT = 2;
  private static final int FIELDS = 8;
  private static final int EVENT_FIELDS = 4;

  /** First byte of a MessagePack array of {@link #FIELDS} elements. */
  private static final byte FIRST_BYTE = (byte) (0x90 | FIELDS);

  private CacheEventCodec() {}

  /** Returns whether a datagram claims to contain cache events. */
  public static boolean isBatch(byte[] bytes, int length) {
    return length > 0 && bytes[0] == FIRST_BYTE;
  }

  /** Encodes events; the result may exceed the size of a datagram. */
  public static byte[] encode(CacheEventBatch b) {
    return Datagrams.encode(
        p -> {
          p.packArrayHeader(FIELDS).packInt(FORMAT).packString(b.address());
          p.packLong(b.epoch()).packLong(b.since()).packLong(b.next()).packLong(b.ageMs());
          p.packLong(b.clockMs());
          p.packArrayHeader(b.changes().size());
          for (Change c : b.changes()) {
            p.packArrayHeader(EVENT_FIELDS).packLong(c.number());
            p.packString(c.key().salt()).packString(c.key().part()).packInt(c.tokens());
          }
        });
  }

  /**
   * Decodes a datagram.
   *
   * @throws MalformedResponseException if it contains no cache events of this format
   */
  public static CacheEventBatch decode(byte[] bytes, int length) throws MalformedResponseException {
    return Datagrams.decode(
        bytes,
        length,
        "cache events",
        (u, f) -> {
          if (f.header() != FIELDS || f.count() != FORMAT) {
            throw new MalformedResponseException("unknown format of cache events");
          }
          return new CacheEventBatch(
              f.name(), f.number(), f.size(), f.size(), f.size(), f.number(), changes(f, length));
        });
  }

  private static List<Change> changes(FieldReader f, int length)
      throws IOException, MalformedResponseException {
    int n = f.header();
    if (n > length) {
      throw new MalformedResponseException("count exceeds the datagram: " + n);
    }
    List<Change> changes = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      if (f.header() != EVENT_FIELDS) {
        throw new MalformedResponseException("malformed cache event");
      }
      changes.add(new Change(f.size(), new CacheContents.Key(f.name(), f.name()), f.count()));
    }
    return List.copyOf(changes);
  }
}
