package org.radishpost.link;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Collectors;
import org.radishpost.errors.LinkException;
import org.radishpost.store.VmEntry;
import org.testng.annotations.Test;

/** Encoding and decoding of frames and messages. */
public class FrameTest {
  private static final int RECORDS_PER_CLASS = 40;
  private static final int FUZZ_CASES = 4000;
  private static final byte[] HUGE_BIN = {(byte) 0xc6, 0x7f, -1, -1, -1, 1};
  private static final byte[] HUGE_EXT = {(byte) 0xc9, 0x7f, -1, -1, -1, 5, 1};

  @Test
  public void everyMessageTypeRoundTrips() throws Exception {
    Class<?>[] messageClasses = LinkMessage.class.getPermittedSubclasses();
    assertEquals(
        Arrays.stream(MessageType.values())
            .map(type -> type.messageClass)
            .collect(Collectors.toSet()),
        Arrays.stream(messageClasses).collect(Collectors.toSet()));
    RandomRecords randomRecords = new RandomRecords(11);
    for (Class<?> messageClass : messageClasses) {
      for (int i = 0; i < RECORDS_PER_CLASS; i++) {
        LinkMessage message = (LinkMessage) randomRecords.create(messageClass);
        Frame frame = Frame.decode(Frame.of(Frame.Kind.REQUEST, message, i).encode());
        assertEquals(frame.correlationId(), i);
        LinkMessage decoded = frame.message().orElseThrow();
        assertTrue(
            RandomRecords.deepEquals(message, decoded), message + " was decoded as " + decoded);
      }
    }
  }

  @Test
  public void unknownTypeOrVersionIsNotAnError() throws Exception {
    assertEquals(
        new Frame(Frame.Kind.NOTIFICATION, 999, 1, 0, HUGE_BIN).message(), Optional.empty());
    assertEquals(new Frame(Frame.Kind.NOTIFICATION, 1, 2, 0, HUGE_BIN).message(), Optional.empty());
  }

  @Test
  public void hugeDeclaredLengthsAreRejected() {
    for (byte[] body : new byte[][] {HUGE_BIN, HUGE_EXT}) {
      Frame frame =
          new Frame(Frame.Kind.NOTIFICATION, MessageType.CONFIG_SNAPSHOT.number, 1, 0, body);
      assertThrows(LinkException.class, frame::message);
      Handshake acceptor = acceptor();
      assertThrows(LinkException.class, () -> acceptor.receive(body));
    }
  }

  @Test
  public void corruptedInputThrowsOnlyLinkException() throws Exception {
    for (int seed = 0; seed < FUZZ_CASES; seed++) {
      Random random = new Random(seed);
      RandomRecords randomRecords = new RandomRecords(seed);
      LinkMessage message = (LinkMessage) randomRecords.create(LinkMessage.class);
      byte[] bytes = Frame.of(Frame.Kind.NOTIFICATION, message, 0).encode();
      for (int flips = 1 + random.nextInt(3); flips > 0; flips--) {
        bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
      }
      byte[] truncated = Arrays.copyOf(bytes, random.nextInt(bytes.length + 1));
      for (byte[] variant : new byte[][] {bytes, truncated}) {
        readOrReject(seed, variant, input -> Frame.decode(input).message());
        readOrReject(seed, variant, HeartbeatBody::decode);
        readOrReject(seed, variant, input -> acceptor().receive(input));
        readOrReject(seed, variant, input -> LinkMapper.read(input, VmEntry.class));
      }
    }
  }

  private interface Reader {
    Object read(byte[] bytes) throws LinkException;
  }

  private static void readOrReject(int seed, byte[] bytes, Reader reader) {
    try {
      reader.read(bytes);
    } catch (LinkException rejected) {
      assertTrue(rejected.getMessage().contains(". "), "the message names a remedy");
    } catch (RuntimeException fault) {
      throw new AssertionError("seed " + seed, fault);
    }
  }

  private static Handshake acceptor() {
    return Handshake.accept(
        LinkFixture.KEY, LinkFixture.entry("acceptor", 1), new byte[Handshake.NONCE_BYTES]);
  }
}
