package org.cowslipyoke.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.cowslipyoke.blocks.BlockKey;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Outcome;
import org.msgpack.core.MessageUnpacker;

/** Reads positional fields; every length is checked before memory is allocated for it. */
final class FieldReader {

  private final MessageUnpacker unpacker;
  private final int frameBytes;

  FieldReader(MessageUnpacker unpacker, int frameBytes) {
    this.unpacker = unpacker;
    this.frameBytes = frameBytes;
  }

  int header() throws IOException {
    return unpacker.unpackArrayHeader();
  }

  long number() throws IOException {
    return unpacker.unpackLong();
  }

  long size() throws IOException {
    long value = number();
    if (value < 0) {
      throw new FieldException("negative number");
    }
    return value;
  }

  int count() throws IOException {
    long value = size();
    if (value > Integer.MAX_VALUE) {
      throw new FieldException("number exceeds 32 bits");
    }
    return (int) value;
  }

  boolean flag() throws IOException {
    return unpacker.unpackBoolean();
  }

  String name() throws IOException {
    return string(FieldLimits.NAME_BYTES);
  }

  String text() throws IOException {
    return string(FieldLimits.TEXT_BYTES);
  }

  ErrorKind kind() throws IOException {
    String name = name();
    for (ErrorKind kind : ErrorKind.values()) {
      if (kind.name().equals(name)) {
        return kind;
      }
    }
    throw new FieldException("unknown error kind");
  }

  Outcome outcome() throws IOException {
    String name = name();
    for (Outcome outcome : Outcome.values()) {
      if (outcome.name().equals(name)) {
        return outcome;
      }
    }
    throw new FieldException("unknown outcome");
  }

  byte[] binary() throws IOException {
    return payload(unpacker.unpackBinaryHeader(), frameBytes);
  }

  List<BlockKey> keys() throws IOException {
    int size = listHeader(FieldLimits.BLOCK_KEYS);
    List<BlockKey> keys = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      byte[] key = binary();
      if (key.length != BlockKey.BYTES) {
        throw new FieldException("block key has " + key.length + " bytes");
      }
      keys.add(BlockKey.ofDigest(key));
    }
    return List.copyOf(keys);
  }

  List<String> texts() throws IOException {
    int size = listHeader(FieldLimits.TEXTS);
    List<String> texts = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      texts.add(text());
    }
    return List.copyOf(texts);
  }

  boolean isAtEnd() {
    return unpacker.getTotalReadBytes() == frameBytes;
  }

  private int listHeader(int limit) throws IOException {
    int size = unpacker.unpackArrayHeader();
    if (size > limit) {
      throw new FieldException("list of " + size + " exceeds " + limit);
    }
    return size;
  }

  private String string(int limit) throws IOException {
    byte[] bytes = payload(unpacker.unpackRawStringHeader(), limit);
    try {
      return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
    } catch (CharacterCodingException e) {
      throw new FieldException("string is not UTF-8");
    }
  }

  private byte[] payload(int length, int limit) throws IOException {
    if (length < 0 || length > limit || length > frameBytes - unpacker.getTotalReadBytes()) {
      throw new FieldException("field of " + length + " bytes exceeds its limit");
    }
    return unpacker.readPayload(length);
  }
}
