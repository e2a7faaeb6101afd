package org.radishpost.pgm;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.radishpost.errors.RadishpostException;
import org.radishpost.http.Readiness;
import org.radishpost.lib.Digest;
import org.radishpost.lib.Endpoint;
import org.radishpost.node.Node;
import org.radishpost.node.RuntimeClock;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.core.publisher.Mono;

/** HTTP requests through three VMs on loopback. */
public class EndToEndTest {
  private static final long SEED = 11;
  private static final int LARGE_BYTES = 5_000_000;

  private final RuntimeClock clock = new RuntimeClock();
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private DemoSystem demo;

  /** Starts the demo system. */
  @BeforeClass
  public void start() throws RadishpostException {
    demo = new DemoSystem(clock, new java.util.Random(SEED));
    demo.start(0);
  }

  /** Stops the demo system. */
  @AfterClass(alwaysRun = true)
  public void stop() {
    demo.stop().block();
  }

  @Test
  public void everyEntryServesCalls() throws Exception {
    for (Endpoint entry : demo.edgeAddresses()) {
      for (int i = 0; i < 20; i++) {
        HttpResponse<String> response = send(get(entry, "/archive/" + i));
        assertEquals(response.statusCode(), 200, response.body());
        assertTrue(response.body().contains("\"path\":\"/archive/" + i + "\""), response.body());
      }
    }
  }

  @Test
  public void shutdownBeginsOnlyOnSubscription() throws Exception {
    Node node = demo.nodes().getFirst();
    Mono<Void> shutdown = node.stop();
    HttpResponse<String> response = send(get(node.edgeAddress(), Readiness.PATH));
    assertEquals(response.statusCode(), 200, response.body() + shutdown);
  }

  @Test
  public void largeUploadArrivesComplete() throws Exception {
    byte[] body = new byte[LARGE_BYTES];
    new java.util.Random(SEED).nextBytes(body);
    for (Endpoint entry : demo.edgeAddresses()) {
      HttpResponse<String> response =
          send(request(entry, "/proof").PUT(BodyPublishers.ofByteArray(body)).build());
      assertEquals(response.statusCode(), 200, response.body());
      assertTrue(response.body().contains(Digest.of(body).hex()), response.body());
    }
  }

  @Test
  public void largeDownloadArrivesComplete() throws Exception {
    for (Endpoint entry : demo.edgeAddresses()) {
      HttpResponse<byte[]> response =
          client.send(get(entry, "/bytes/" + LARGE_BYTES), BodyHandlers.ofByteArray());
      assertEquals(response.body().length, LARGE_BYTES);
    }
  }

  @Test
  public void headHasTheLengthAndNoBody() throws Exception {
    HttpRequest request =
        request(demo.edgeAddresses().getFirst(), "/bytes/77")
            .method("HEAD", BodyPublishers.noBody())
            .build();
    HttpResponse<String> response = send(request);
    assertEquals(response.statusCode(), 200);
    assertEquals(response.headers().firstValue("content-length").orElse(""), "77");
    assertEquals(response.body(), "");
  }

  @Test
  public void guardedCallRunsOnceThroughAnyEntry() throws Exception {
    String key = clock.now(TimeUnit.MILLISECONDS) + "-abcdefghijklmnopq";
    List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      for (Endpoint entry : demo.edgeAddresses()) {
        responses.add(
            client.sendAsync(
                request(entry, "/dispatch")
                    .header("Idempotency-Key", key)
                    .POST(BodyPublishers.ofString("issue 7"))
                    .build(),
                BodyHandlers.ofString()));
      }
    }
    for (CompletableFuture<HttpResponse<String>> future : responses) {
      HttpResponse<String> response = future.get();
      boolean validOutcome =
          response.statusCode() == 200
              || "unknown".equals(response.headers().firstValue("radishpost-outcome").orElse(""));
      assertTrue(validOutcome, response.statusCode() + " " + response.body());
    }
    assertEquals(demo.runCount(key), 1);
  }

  @Test
  public void guardedCallWithoutKeyIsRefusedAsNotRun() throws Exception {
    HttpResponse<String> response =
        send(
            request(demo.edgeAddresses().getFirst(), "/dispatch")
                .POST(BodyPublishers.ofString("x"))
                .build());
    assertEquals(response.statusCode(), 400);
    assertEquals(response.headers().firstValue("radishpost-outcome").orElse(""), "not-run");
  }

  /**
   * Malformed or ambiguous requests. Two parsers could disagree about where such a request ends.
   */
  @DataProvider
  public Object[][] ambiguousRequests() {
    String head = "POST /dispatch HTTP/1.1\r\nHost: a\r\n";
    return new Object[][] {
      {head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
      {head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n"},
      {head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc"},
      {head + "Content-Length: +3\r\n\r\nabc"},
      {head + "Content-Length : 3\r\n\r\nabc"},
      {head + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"},
      {head + "Transfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n"},
      {head + "Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n"},
      {"GET /a HTTP/1.1\nHost: a\r\n\r\n"},
      {"GET /a HTTP/1.1\r\nHost: a\n\r\n"},
      {"GET /a HTTP/1.1\r\nHost: a\r\n folded: b\r\n\r\n"},
      {"GET /a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"},
      {"GET /a HTTP/1.1\r\n\r\n"},
      {"GET http://b/a HTTP/1.1\r\nHost: a\r\n\r\n"},
      {"GET /a HTTP/1.0\r\nHost: a\r\n\r\n"},
    };
  }

  @Test(dataProvider = "ambiguousRequests")
  public void ambiguousRequestIsRefusedAndTheConnectionClosed(String text) throws IOException {
    Endpoint entry = demo.edgeAddresses().getFirst();
    try (Socket socket = new Socket(entry.ip(), entry.port())) {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      String response =
          new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
      assertTrue(response.startsWith("HTTP/1.1 400 "), response);
      assertEquals(response.split("HTTP/1.1 ", -1).length, 2, response);
    }
  }

  private HttpResponse<String> send(HttpRequest request) throws Exception {
    return client.send(request, BodyHandlers.ofString());
  }

  private static HttpRequest get(Endpoint entry, String path) {
    return request(entry, path).GET().build();
  }

  private static HttpRequest.Builder request(Endpoint entry, String path) {
    return HttpRequest.newBuilder(URI.create("http://" + entry + path));
  }
}
