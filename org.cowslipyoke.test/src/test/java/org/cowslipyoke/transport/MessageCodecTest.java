package org.cowslipyoke.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;
import java.util.Collections;
import java.util.Random;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.message.Envelope;
import org.cowslipyoke.message.Message;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Guards against fields lost or swapped on the wire and against lenient or crashing decoding. */
class MessageCodecTest {

  @Test
  void everyMessageTypeSurvivesRoundTrip() {
    assertEquals(MessageType.values().length, Messages.all().size());
    for (Message message : Messages.all()) {
      Envelope sent = new Envelope(7, 8, 9, message);
      Envelope got = MessageCodec.decode(array(sent)).get();
      assertEquals(7, got.streamId());
      assertEquals(8, got.configVersion());
      assertEquals(9, got.suspectsVersion());
      // Records with arrays have no useful equals, so the canonical bytes are compared.
      assertEquals(message.getClass(), got.message().getClass());
      assertEquals(Arrays.toString(array(sent)), Arrays.toString(array(got)));
    }
  }

  @Test
  void truncatedFramesAreRefused() {
    for (Message message : Messages.all()) {
      byte[] whole = array(new Envelope(1, 2, 3, message));
      for (int length = 0; length < whole.length; length++) {
        assertTrue(MessageCodec.decode(Arrays.copyOf(whole, length)).isLeft(), message.toString());
      }
      assertTrue(MessageCodec.decode(Arrays.copyOf(whole, whole.length + 1)).isLeft());
    }
  }

  @Test
  void randomlyChangedFramesAreDecodedOrRefused() {
    long seed = new Random().nextLong();
    System.out.println("MessageCodecTest seed " + seed);
    Random random = new Random(seed);
    for (int i = 0; i < 20_000; i++) {
      Message message = Messages.all().get(random.nextInt(Messages.all().size()));
      byte[] array = array(new Envelope(1, 2, 3, message));
      for (int n = 0; n <= random.nextInt(4); n++) {
        array[random.nextInt(array.length)] = (byte) random.nextInt();
      }
      MessageCodec.decode(array)
          .peekLeft(f -> assertEquals(ErrorKind.PROTOCOL_ERROR, f.kind(), "seed " + seed))
          .peek(e -> assertTrue(MessageCodec.encode(e).isRight(), "seed " + seed));
    }
  }

  @Test
  void unknownVersionTypeAndFieldCountAreRefused() throws IOException {
    assertTrue(MessageCodec.decode(header(10, 1, 2, 0)).isLeft());
    assertTrue(MessageCodec.decode(header(5, 1, 2, 0)).isRight());
    assertTrue(MessageCodec.decode(header(5, 2, 2, 0)).isLeft());
    assertTrue(MessageCodec.decode(header(5, 1, 200, 0)).isLeft());
    assertTrue(MessageCodec.decode(header(5, 1, 2, -1)).isLeft());
  }

  @Test
  void deepNestingIsRefused() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (int i = 0; i < 100_000; i++) {
      bytes.write(0x91);
    }
    assertTrue(MessageCodec.decode(bytes.toByteArray()).isLeft());
  }

  @Test
  void announcedLengthsAllocateNothing() {
    // A binary field that announces 2 GiB, in a frame of a few bytes.
    byte[] array = {(byte) 0x99, 1, 17, 1, 0, 0, (byte) 0xa1, 'n', 1, 0, (byte) 0xc6, 127, -1, -1};
    assertFalse(MessageCodec.decode(array).isRight());
  }

  @Test
  void excessLengthIsRefusedBySender() {
    Message tooLong = Messages.start(new byte[MessageCodec.MAX_FRAME_BYTES]);
    assertEquals(
        ErrorKind.TOO_LARGE, MessageCodec.encode(new Envelope(1, 0, 0, tooLong)).getLeft().kind());
    Message longList = new Message.Tokens("r", 0, Collections.nCopies(5000, "x"));
    assertEquals(
        ErrorKind.TOO_LARGE, MessageCodec.encode(new Envelope(1, 0, 0, longList)).getLeft().kind());
    Message longName = new Message.Cancel("x".repeat(3000));
    assertEquals(
        ErrorKind.TOO_LARGE, MessageCodec.encode(new Envelope(1, 0, 0, longName)).getLeft().kind());
  }

  static byte[] array(Envelope envelope) {
    byte[] frame = MessageCodec.encode(envelope).get();
    return Arrays.copyOfRange(frame, MessageCodec.LENGTH_BYTES, frame.length);
  }

  private static byte[] header(int fields, int version, int type, long stream) throws IOException {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packArrayHeader(fields).packInt(version).packInt(type).packLong(stream);
      packer.packLong(0).packLong(0);
      return packer.toByteArray();
    }
  }
}
