package org.cowslipyoke.transport;

import java.io.IOException;
import java.util.Arrays;
import org.cowslipyoke.util.MalformedResponseException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes datagrams that consist of one MessagePack value. */
final class Datagrams {

  /** Writes the content of a datagram. */
  interface Writer {
    void write(MessageBufferPacker p) throws IOException;
  }

  /** Reads the content of a datagram. */
  interface Reader<T> {
    T read(MessageUnpacker u, FieldReader f) throws IOException, MalformedResponseException;
  }

  private Datagrams() {}

  /**
   * Returns the first bytes of an array whose first element is a name.
   *
   * @param elements number of elements
   */
  static byte[] namedPrefix(int elements, String name) {
    return encode(p -> p.packArrayHeader(elements).packString(name));
  }

  /** Returns whether a datagram begins with the given bytes. */
  static boolean startsWith(byte[] bytes, int length, byte[] prefix) {
    return length >= prefix.length
        && Arrays.equals(bytes, 0, prefix.length, prefix, 0, prefix.length);
  }

  static byte[] encode(Writer w) {
    try (MessageBufferPacker p = MessagePack.newDefaultBufferPacker()) {
      w.write(p);
      return p.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("a buffer in memory can't be written", e);
    }
  }

  /**
   * Decodes a datagram.
   *
   * @param what name of the content for the error message
   * @throws MalformedResponseException if the bytes are not what the reader expects
   */
  static <T> T decode(byte[] bytes, int length, String what, Reader<T> r)
      throws MalformedResponseException {
    try (MessageUnpacker u = MessagePack.newDefaultUnpacker(bytes, 0, length)) {
      return r.read(u, new FieldReader(u, length));
    } catch (IOException | MessagePackException e) {
      throw new MalformedResponseException(what + " not decoded: " + e);
    }
  }
}
