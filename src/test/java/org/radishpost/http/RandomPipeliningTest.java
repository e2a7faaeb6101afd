package org.radishpost.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Schedulers;

/** Tests with random pipelined requests that each one is answered, in order. */
public class RandomPipeliningTest {
  private static final int SEEDS = 10;
  private static final int SEQUENCES_PER_SEED = 1_000;
  private static final int MAX_REQUESTS = 8;

  /** One connection closes after this many sequences on average. */
  private static final int SEQUENCES_PER_CONNECTION = 3;

  private static final List<String> METHODS = List.of("GET", "GET", "GET", "HEAD", "POST", "PUT");
  private static final int[] SIZES = {0, 200, 1_000, 33_000, 50_000, 100_000, 262_144};
  private static final int[] LARGE_SIZES = {262_145, 1_000_000, 4_000_000};

  /** One size in so many is a large one. */
  private static final int LARGE_SHARE = 60;

  private static final int[] BLOCK_SIZES = {1_460, 16_384, 65_536};
  private static final int MAX_UPLOAD_BYTES = 200;

  private volatile List<Planned> exchanges = List.of();

  /** Returns the seeds. */
  @DataProvider
  public Object[][] seeds() {
    Object[][] seeds = new Object[SEEDS][];
    Arrays.setAll(seeds, index -> new Object[] {(long) index + 1});
    return seeds;
  }

  /** The caller sends all requests of a sequence before it reads the first response. */
  @Test(dataProvider = "seeds")
  public void everyRequestIsAnsweredInOrder(long seed) throws Exception {
    Random random = new Random(seed);
    CallHandler handler = call -> exchanges.get(index(call)).response.asMono();
    try (EdgeFixture edge = new EdgeFixture(handler)) {
      int sequences = 0;
      while (sequences < SEQUENCES_PER_SEED) {
        sequences += serveConnection(edge, random, "sequence " + sequences);
      }
    }
  }

  /** Runs sequences until the last request of one closes the connection; returns their number. */
  private int serveConnection(EdgeFixture edge, Random random, String name) throws Exception {
    try (Socket socket = edge.connect()) {
      boolean last = false;
      int sequences = 0;
      while (!last) {
        last = random.nextInt(SEQUENCES_PER_CONNECTION) == 0;
        runSequence(socket, random, last, name + "+" + sequences);
        sequences++;
      }
      assertEquals(socket.getInputStream().read(), -1, name);
      return sequences;
    }
  }

  private void runSequence(Socket socket, Random random, boolean last, String name)
      throws Exception {
    List<Planned> sequence = new ArrayList<>();
    int count = 1 + random.nextInt(MAX_REQUESTS);
    for (int index = 0; index < count; index++) {
      sequence.add(Planned.random(index, last && index == count - 1, random));
    }
    exchanges = sequence;
    List<Planned> shuffled = new ArrayList<>(sequence);
    Collections.shuffle(shuffled, random);
    int before = random.nextInt(count + 1);
    int beforeReading = before + random.nextInt(count - before + 1);
    shuffled.subList(0, before).forEach(Planned::respond);
    socket.getOutputStream().write(requests(sequence));
    shuffled.subList(before, beforeReading).forEach(Planned::respond);
    sequence.getFirst().respond();
    String head = HeadReader.read(socket.getInputStream());
    shuffled.subList(beforeReading, count).forEach(Planned::respond);
    for (Planned exchange : sequence) {
      String own = exchange.index == 0 ? head : HeadReader.read(socket.getInputStream());
      exchange.check(own, socket.getInputStream(), name);
    }
  }

  private static int index(Call call) {
    return Integer.parseInt(call.head().target().substring(1));
  }

  private static byte[] requests(List<Planned> sequence) {
    StringBuilder text = new StringBuilder();
    sequence.forEach(exchange -> text.append(exchange.request()));
    return text.toString().getBytes(StandardCharsets.ISO_8859_1);
  }

  /**
   * One request and its response.
   *
   * @param index the position of the request in its sequence
   * @param method its method
   * @param upload the body of a POST or PUT
   * @param close whether the request asks to close the connection
   * @param bytes the size of the response's body
   * @param blockBytes the size of the parts in which the response's body is written
   * @param streamed whether another thread provides the response's body
   * @param response the response
   */
  private record Planned(
      int index,
      String method,
      String upload,
      boolean close,
      int bytes,
      int blockBytes,
      boolean streamed,
      Sinks.One<Response> response) {
    private static Planned random(int index, boolean close, Random random) {
      int[] sizes = random.nextInt(LARGE_SHARE) == 0 ? LARGE_SIZES : SIZES;
      return new Planned(
          index,
          METHODS.get(random.nextInt(METHODS.size())),
          "u".repeat(1 + random.nextInt(MAX_UPLOAD_BYTES)),
          close,
          sizes[random.nextInt(sizes.length)],
          BLOCK_SIZES[random.nextInt(BLOCK_SIZES.length)],
          random.nextBoolean(),
          Sinks.one());
    }

    private String request() {
      String fields = " HTTP/1.1\r\nHost: h\r\n" + (close ? "Connection: close\r\n" : "");
      return method + " /" + index + fields + requestEnd();
    }

    private String requestEnd() {
      return switch (method) {
        case "POST" -> "Content-Length: " + upload.length() + "\r\n\r\n" + upload;
        case "PUT" -> "Transfer-Encoding: chunked\r\n\r\n" + chunk() + "0\r\n\r\n";
        default -> "\r\n";
      };
    }

    private String chunk() {
      return Integer.toHexString(upload.length()) + "\r\n" + upload + "\r\n";
    }

    /** Makes the response available, unless it is. */
    private void respond() {
      Flux<ByteBuf> body =
          Flux.range(0, (bytes + blockBytes - 1) / blockBytes)
              .map(block -> block(Math.min(blockBytes, bytes - block * blockBytes)));
      response.tryEmitValue(
          new Response(
              200,
              new DefaultHttpHeaders().set("content-length", bytes).set("x-index", index),
              streamed ? body.publishOn(Schedulers.parallel()) : body,
              Mono.empty(),
              Optional.empty()));
    }

    private ByteBuf block(int size) {
      byte[] block = new byte[size];
      Arrays.fill(block, (byte) index);
      return Unpooled.wrappedBuffer(block);
    }

    private void check(String head, InputStream in, String name) throws Exception {
      String context = name + " " + this + " " + head;
      assertEquals(head.split(" ", 3)[1], "200", context);
      assertTrue(head.contains("x-index: " + index + "\r\n"), context);
      byte[] expected = new byte[method.equals("HEAD") ? 0 : bytes];
      Arrays.fill(expected, (byte) index);
      assertEquals(Arrays.mismatch(in.readNBytes(expected.length), expected), -1, context);
    }
  }
}
