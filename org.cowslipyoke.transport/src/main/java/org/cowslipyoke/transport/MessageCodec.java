package org.cowslipyoke.transport;

import io.vavr.control.Either;
import java.io.IOException;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.message.Envelope;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes frames. A frame is a 4-byte big-endian length and one MessagePack array. The
 * decoder accepts exactly the form that the encoder writes; since the fields are positional and
 * lists hold only scalars, the nesting depth is at most 2.
 */
public final class MessageCodec {

  /** Version of the frame format. */
  public static final int PROTOCOL_VERSION = 1;

  /** Largest length of the MessagePack array in bytes. */
  public static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;

  /** Bytes of the length in front of the array. */
  static final int LENGTH_BYTES = 4;

  private static final int HEADER_FIELDS = 5;

  private MessageCodec() {}

  /** Returns a whole frame, or {@code TOO_LARGE} if the message exceeds a limit. */
  public static Either<Failure, byte[]> encode(Envelope envelope) {
    MessageType type = MessageType.of(envelope.message());
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.writePayload(new byte[LENGTH_BYTES]);
      packer.packArrayHeader(HEADER_FIELDS + type.fields);
      packer.packInt(PROTOCOL_VERSION).packInt(type.code).packLong(envelope.streamId());
      packer.packLong(envelope.configVersion()).packLong(envelope.suspectsVersion());
      type.write(new FieldWriter(packer), envelope.message());
      byte[] frame = packer.toByteArray();
      int length = frame.length - LENGTH_BYTES;
      if (length > MAX_FRAME_BYTES) {
        return Either.left(tooLarge(length));
      }
      for (int i = 0; i < LENGTH_BYTES; i++) {
        frame[i] = (byte) (length >>> (24 - 8 * i));
      }
      return Either.right(frame);
    } catch (IOException e) {
      return Either.left(Failure.of(ErrorKind.TOO_LARGE, String.valueOf(e.getMessage())));
    }
  }

  /** Decodes the array of a frame, without its length. */
  public static Either<Failure, Envelope> decode(byte[] array) {
    if (array.length > MAX_FRAME_BYTES) {
      return Either.left(tooLarge(array.length));
    }
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(array)) {
      FieldReader reader = new FieldReader(unpacker, array.length);
      return Either.right(read(reader));
    } catch (IOException | MessagePackException e) {
      return Either.left(Failure.of(ErrorKind.PROTOCOL_ERROR, "malformed frame: " + e));
    }
  }

  static Failure tooLarge(long length) {
    return Failure.of(
        ErrorKind.TOO_LARGE, "frame of " + length + " bytes exceeds " + MAX_FRAME_BYTES);
  }

  private static Envelope read(FieldReader reader) throws IOException {
    int fields = reader.header();
    if (fields < HEADER_FIELDS) {
      throw new FieldException("header of " + fields + " fields");
    }
    long version = reader.number();
    if (version != PROTOCOL_VERSION) {
      throw new FieldException("protocol version " + version + " is not supported");
    }
    long code = reader.size();
    MessageType type = MessageType.ofCode(code);
    if (type == null) {
      throw new FieldException("unknown message type " + code);
    }
    if (fields != HEADER_FIELDS + type.fields) {
      throw new FieldException(type + " with " + fields + " fields");
    }
    Envelope envelope =
        new Envelope(reader.size(), reader.size(), reader.size(), type.read(reader));
    if (!reader.isAtEnd()) {
      throw new FieldException("bytes after the end of the array");
    }
    return envelope;
  }
}
