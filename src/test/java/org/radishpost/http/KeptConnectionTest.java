package org.radishpost.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArraySet;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Schedulers;

/** Tests that a connection is still read after its pipelined requests have been answered. */
public class KeptConnectionTest {
  /** The size of the blocks in which {@link ResponseBuffering} keeps a body. */
  private static final int BUFFERED_BLOCK = 65_536;

  private static final int STREAMED_BLOCK = 16_384;

  /** More bytes than are read before a call starts. */
  private static final String UPLOAD = "u".repeat(10 * EdgeFixture.MAX_PREFIX_BYTES);

  private static final int ROUNDS = 5;
  private static final int WAIT_SECONDS = 20;

  /** Returns the methods of pipelined requests, and the size of bodies and of their blocks. */
  @DataProvider
  public Object[][] sequences() {
    return new Object[][] {
      {"GET GET", 1_000, BUFFERED_BLOCK},
      {"GET GET", 50_000, BUFFERED_BLOCK},
      {"GET GET", 100_000, BUFFERED_BLOCK},
      {"GET GET", 262_144, BUFFERED_BLOCK},
      {"GET GET", 100_000, STREAMED_BLOCK},
      {"GET GET", 262_145, STREAMED_BLOCK},
      {"GET GET", 4_000_000, STREAMED_BLOCK},
      {"GET HEAD", 1_000, BUFFERED_BLOCK},
      {"HEAD GET", 50_000, BUFFERED_BLOCK},
      {"HEAD HEAD", 1_000, BUFFERED_BLOCK},
      {"GET GET GET", 50_000, BUFFERED_BLOCK},
      {"GET HEAD GET GET HEAD GET GET GET", 50_000, BUFFERED_BLOCK},
      {"GET GET GET GET GET GET GET HEAD", 1_000, BUFFERED_BLOCK},
      {"GET GET POST", 50_000, BUFFERED_BLOCK},
      {"GET POST GET", 50_000, BUFFERED_BLOCK},
      {"POST GET", 50_000, BUFFERED_BLOCK},
      {"POST POST", 50_000, BUFFERED_BLOCK},
      {"GET PUT", 50_000, BUFFERED_BLOCK},
      {"GET HEAD PUT", 50_000, BUFFERED_BLOCK},
      {"GET", 4_000_000, STREAMED_BLOCK},
      {"HEAD", 1_000, BUFFERED_BLOCK},
    };
  }

  /** The responses to all requests behind the first one are there before the first one's. */
  @Test(dataProvider = "sequences")
  public void requestAfterPipelinedOnesIsNotRead(String methods, int bytes, int blockBytes)
      throws Exception {
    String[] sequence = methods.split(" ");
    Sinks.One<Response> first = Sinks.one();
    CountDownLatch early = new CountDownLatch(earlyCount(sequence));
    CallHandler handler =
        call -> {
          early.countDown();
          return call.head().target().equals("/0")
              ? first.asMono()
              : Mono.just(response(bytes, blockBytes));
        };
    try (EdgeFixture edge = new EdgeFixture(handler);
        Socket socket = edge.connect()) {
      PipelinedCaller caller = new PipelinedCaller(socket);
      caller.send(0, sequence);
      assertTrue(early.await(WAIT_SECONDS, TimeUnit.SECONDS));
      first.tryEmitValue(response(bytes, blockBytes));
      caller.readResponses(bytes, sequence);
      for (int round = 0; round < ROUNDS; round++) {
        caller.send(sequence.length, "GET");
        caller.readResponses(bytes, "GET");
      }
    }
  }

  /** The library may then dispatch the next two requests at once, which mixes their responses. */
  @Test
  public void headIsWrittenByThreadThatEndedBody() throws Exception {
    RecordingHeaders headers = new RecordingHeaders();
    Flux<ByteBuf> body = Flux.<ByteBuf>empty().publishOn(Schedulers.parallel());
    Response response = new Response(200, headers, body, Mono.empty(), Optional.empty());
    try (EdgeFixture edge = new EdgeFixture(call -> Mono.just(response))) {
      edge.call("HEAD");
    }
    assertEquals(headers.threads, Set.of(true));
  }

  /** Returns the number of requests that start before the first one is answered. */
  private static int earlyCount(String[] sequence) {
    int count = 1;
    while (count < sequence.length && isRead(sequence[count - 1]) && isRead(sequence[count])) {
      count++;
    }
    return count;
  }

  private static boolean isRead(String method) {
    return method.equals("GET") || method.equals("HEAD");
  }

  private static Response response(int bytes, int blockBytes) {
    Flux<ByteBuf> body =
        Flux.range(0, (bytes + blockBytes - 1) / blockBytes)
            .map(block -> block(Math.min(blockBytes, bytes - block * blockBytes)));
    return new Response(
        200,
        new DefaultHttpHeaders().set("content-length", bytes),
        body,
        Mono.empty(),
        Optional.empty());
  }

  private static ByteBuf block(int bytes) {
    return Unpooled.wrappedBuffer(new byte[bytes]);
  }

  /** Header fields that record whether they are written by a thread of the server's event loop. */
  private static final class RecordingHeaders extends DefaultHttpHeaders {
    private final Set<Boolean> threads = new CopyOnWriteArraySet<>();

    @Override
    public Iterator<Map.Entry<String, String>> iterator() {
      threads.add(Thread.currentThread().getName().startsWith(EdgeFixture.LOOP_NAME));
      return super.iterator();
    }
  }

  /** A caller that pipelines requests and reads their responses. */
  private record PipelinedCaller(Socket socket) {
    private void send(int firstIndex, String... methods) throws Exception {
      StringBuilder requests = new StringBuilder();
      for (int index = 0; index < methods.length; index++) {
        requests
            .append(methods[index] + " /" + (firstIndex + index) + " HTTP/1.1\r\nHost: h\r\n")
            .append(endOf(methods[index]));
      }
      socket.getOutputStream().write(requests.toString().getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Returns what follows the common fields; the body of a PUT is chunked. */
    private static String endOf(String method) {
      return switch (method) {
        case "POST" -> "Content-Length: " + UPLOAD.length() + "\r\n\r\n" + UPLOAD;
        case "PUT" -> "Transfer-Encoding: chunked\r\n\r\na0\r\n" + UPLOAD + "\r\n0\r\n\r\n";
        default -> "\r\n";
      };
    }

    private void readResponses(int bytes, String... methods) throws Exception {
      for (String method : methods) {
        String head = HeadReader.read(socket.getInputStream());
        assertEquals(head.split(" ")[1], "200", head);
        int expected = method.equals("HEAD") ? 0 : bytes;
        assertEquals(socket.getInputStream().readNBytes(expected).length, expected, method);
      }
    }
  }
}
