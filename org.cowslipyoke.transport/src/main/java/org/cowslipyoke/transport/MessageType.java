package org.cowslipyoke.transport;

import java.io.IOException;
import java.util.Arrays;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.cowslipyoke.message.Message;
import org.jspecify.annotations.Nullable;

/**
 * The wire form of each message: type code, number of fields, and how they are written and read.
 */
// The functions are stateless method references, which the checker cannot see.
@SuppressWarnings("ImmutableEnumChecker")
enum MessageType {
  HELLO(1, 3, true, Message.Hello.class, MessageFields::hello, MessageFields::hello),
  HEARTBEAT(
      2, 0, true, Message.Heartbeat.class, MessageFields::heartbeat, MessageFields::heartbeat),
  PROBE(3, 12, false, Message.Probe.class, MessageFields::probe, MessageFields::probe),
  OFFER(4, 9, false, Message.Offer.class, MessageFields::offer, MessageFields::offer),
  REFUSED(5, 3, false, Message.Refused.class, MessageFields::refused, MessageFields::refused),
  RELEASE(6, 1, false, Message.Release.class, MessageFields::release, MessageFields::release),
  START(7, 15, false, Message.Start.class, MessageFields::start, MessageFields::start),
  STARTED(8, 3, false, Message.Started.class, MessageFields::started, MessageFields::started),
  TOKENS(9, 3, false, Message.Tokens.class, MessageFields::tokens, MessageFields::tokens),
  END(10, 4, false, Message.End.class, MessageFields::end, MessageFields::end),
  FAILED(11, 4, false, Message.Failed.class, MessageFields::failed, MessageFields::failed),
  RESUME(12, 4, false, Message.Resume.class, MessageFields::resume, MessageFields::resume),
  CANCEL(13, 1, false, Message.Cancel.class, MessageFields::cancel, MessageFields::cancel),
  SERVICE_CALL(14, 8, false, Message.ServiceCall.class, MessageFields::call, MessageFields::call),
  SERVICE_REPLY(
      15, 5, false, Message.ServiceReply.class, MessageFields::reply, MessageFields::reply),
  DOCUMENT_PULL(16, 2, true, Message.DocumentPull.class, MessageFields::pull, MessageFields::pull),
  DOCUMENT(17, 4, true, Message.Document.class, MessageFields::document, MessageFields::document),
  NOTICE(18, 0, true, Message.Notice.class, MessageFields::notice, MessageFields::notice),
  STREAM_CLOSED(
      19, 2, true, Message.StreamClosed.class, MessageFields::closed, MessageFields::closed);

  private static final Map<Integer, MessageType> BY_CODE =
      Arrays.stream(values()).collect(Collectors.toMap(t -> t.code, Function.identity()));
  private static final Map<Class<?>, MessageType> BY_CLASS =
      Arrays.stream(values()).collect(Collectors.toMap(t -> t.recordClass, Function.identity()));

  final int code;
  final int fields;
  final boolean control;
  private final Class<?> recordClass;
  private final Write<Message> write;
  private final Read<? extends Message> read;

  <T extends Message> MessageType(
      int code, int fields, boolean control, Class<T> recordClass, Write<T> write, Read<T> read) {
    this.code = code;
    this.fields = fields;
    this.control = control;
    this.recordClass = recordClass;
    this.write = (w, m) -> write.write(w, recordClass.cast(m));
    this.read = read;
  }

  @FunctionalInterface
  interface Write<T> {
    void write(FieldWriter writer, T message) throws IOException;
  }

  @FunctionalInterface
  interface Read<T> {
    T read(FieldReader reader) throws IOException;
  }

  static @Nullable MessageType ofCode(long code) {
    return BY_CODE.get((int) Math.min(code, Integer.MAX_VALUE));
  }

  static MessageType of(Message message) {
    MessageType type = BY_CLASS.get(message.getClass());
    if (type == null) {
      throw new IllegalStateException("no wire form for " + message.getClass());
    }
    return type;
  }

  void write(FieldWriter writer, Message message) throws IOException {
    write.write(writer, message);
  }

  Message read(FieldReader reader) throws IOException {
    return read.read(reader);
  }
}
