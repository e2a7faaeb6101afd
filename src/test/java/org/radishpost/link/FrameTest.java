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

/** Frames and messages as bytes. */
public class FrameTest {
  private static final int SAMPLES = 40;
  private static final int FUZZ_CASES = 4000;
  private static final byte[] HUGE_BIN = {(byte) 0xc6, 0x7f, -1, -1, -1, 1};
  private static final byte[] HUGE_EXT = {(byte) 0xc9, 0x7f, -1, -1, -1, 5, 1};

  @Test
  public void everyMessageComesBackAsItWas() throws Exception {
    Class<?>[] kinds = LinkMessage.class.getPermittedSubclasses();
    assertEquals(
        Arrays.stream(MessageType.values()).map(type -> type.layout).collect(Collectors.toSet()),
        Arrays.stream(kinds).collect(Collectors.toSet()));
    RecordSamples samples = new RecordSamples(11);
    for (Class<?> kind : kinds) {
      for (int i = 0; i < SAMPLES; i++) {
        LinkMessage message = (LinkMessage) samples.of(kind);
        Frame frame = Frame.decode(Frame.of(Frame.Kind.ASK, message, i).encode());
        assertEquals(frame.correlation(), i);
        LinkMessage back = frame.message().orElseThrow();
        assertTrue(RecordSamples.same(message, back), message + " came back as " + back);
      }
    }
  }

  @Test
  public void unknownNumberOrVersionIsNoFault() throws Exception {
    assertEquals(new Frame(Frame.Kind.TELL, 999, 1, 0, HUGE_BIN).message(), Optional.empty());
    assertEquals(new Frame(Frame.Kind.TELL, 1, 2, 0, HUGE_BIN).message(), Optional.empty());
  }

  @Test
  public void declaredLengthsAreNotTrusted() {
    for (byte[] body : new byte[][] {HUGE_BIN, HUGE_EXT}) {
      Frame frame = new Frame(Frame.Kind.TELL, MessageType.CONFIG_SNAPSHOT.number, 1, 0, body);
      assertThrows(LinkException.class, frame::message);
      Handshake acceptor = acceptor();
      assertThrows(LinkException.class, () -> acceptor.receive(body));
    }
  }

  @Test
  public void chanceBytesAreRefusedAndNothingElse() throws Exception {
    for (int seed = 0; seed < FUZZ_CASES; seed++) {
      Random random = new Random(seed);
      RecordSamples samples = new RecordSamples(seed);
      LinkMessage message = (LinkMessage) samples.of(LinkMessage.class);
      byte[] bytes = Frame.of(Frame.Kind.TELL, message, 0).encode();
      for (int flips = 1 + random.nextInt(3); flips > 0; flips--) {
        bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
      }
      byte[] cut = Arrays.copyOf(bytes, random.nextInt(bytes.length + 1));
      for (byte[] tried : new byte[][] {bytes, cut}) {
        refusedOrRead(seed, tried, input -> Frame.decode(input).message());
        refusedOrRead(seed, tried, Beat::decode);
        refusedOrRead(seed, tried, input -> acceptor().receive(input));
        refusedOrRead(seed, tried, input -> LinkMapper.read(input, VmEntry.class));
      }
    }
  }

  private interface Reader {
    Object read(byte[] bytes) throws LinkException;
  }

  private static void refusedOrRead(int seed, byte[] bytes, Reader reader) {
    try {
      reader.read(bytes);
    } catch (LinkException refused) {
      assertTrue(refused.getMessage().contains(". "), "the message names a remedy");
    } catch (RuntimeException fault) {
      throw new AssertionError("seed " + seed, fault);
    }
  }

  private static Handshake acceptor() {
    return Handshake.accept(
        LinkFixture.KEY, LinkFixture.entry("acceptor", 1), new byte[Handshake.NONCE_BYTES]);
  }
}
