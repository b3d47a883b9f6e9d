package org.cowslipyoke.transport;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;
import org.cowslipyoke.blocks.BlockKey;
import org.cowslipyoke.errors.ErrorKind;
import org.msgpack.core.MessageBufferPacker;

/** Writes the fields of one message body with the limits that the reader enforces. */
final class FieldWriter {

  private final MessageBufferPacker packer;

  FieldWriter(MessageBufferPacker packer) {
    this.packer = packer;
  }

  FieldWriter number(long value) throws IOException {
    packer.packLong(value);
    return this;
  }

  FieldWriter flag(boolean value) throws IOException {
    packer.packBoolean(value);
    return this;
  }

  FieldWriter name(String value) throws IOException {
    return string(value, FieldLimits.NAME_BYTES);
  }

  FieldWriter text(String value) throws IOException {
    return string(value, FieldLimits.TEXT_BYTES);
  }

  FieldWriter kind(ErrorKind kind) throws IOException {
    return name(kind.name());
  }

  /** Writes an explanation, shortened to the limit because its end carries no meaning. */
  FieldWriter explanation(String value) throws IOException {
    int limit = FieldLimits.NAME_BYTES / 3;
    return name(value.length() <= limit ? value : value.substring(0, limit));
  }

  FieldWriter binary(byte[] value) throws IOException {
    packer.packBinaryHeader(value.length);
    packer.writePayload(value);
    return this;
  }

  FieldWriter keys(List<BlockKey> keys) throws IOException {
    header(keys.size(), FieldLimits.BLOCK_KEYS);
    for (BlockKey key : keys) {
      binary(HexFormat.of().parseHex(key.hex()));
    }
    return this;
  }

  FieldWriter texts(List<String> values) throws IOException {
    header(values.size(), FieldLimits.TEXTS);
    for (String value : values) {
      text(value);
    }
    return this;
  }

  private void header(int size, int limit) throws IOException {
    if (size > limit) {
      throw new FieldException("list of " + size + " exceeds " + limit);
    }
    packer.packArrayHeader(size);
  }

  private FieldWriter string(String value, int limit) throws IOException {
    byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
    if (bytes.length > limit) {
      throw new FieldException("string of " + bytes.length + " bytes exceeds " + limit);
    }
    packer.packRawStringHeader(bytes.length);
    packer.writePayload(bytes);
    return this;
  }
}
