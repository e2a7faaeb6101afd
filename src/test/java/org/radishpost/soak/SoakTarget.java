package org.radishpost.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.radishpost.lib.Endpoint;
import org.radishpost.platform.WireNames;

/**
 * A target that writes its responses to the socket directly, so that it can send malformed
 * responses.
 *
 * <p>Each execution is recorded in the {@link RequestTracker} before it starts.
 */
final class SoakTarget implements AutoCloseable {
  /** The body of responses with status 500. */
  static final String FAILURE_BODY = "failed";

  static final String HEALTH_PATH = "/healthz";
  static final int SLOTS = 2;

  /** A fault of the responses. */
  enum Fault {
    NONE,
    SLOW,
    NOT_RUN,
    ERROR_STATUS,
    HANG,
    CLOSE_WITHOUT_RESPONSE,
    TRUNCATE,
    MALFORMED_RESPONSE,
    EXTRA_RESPONSE
  }

  private static final Duration SERVICE_TIME = Duration.ofMillis(15);
  private static final Duration SLOW_SERVICE_TIME = Duration.ofMillis(600);
  private static final int MAX_QUEUED = 4;
  private static final double FAULT_PROBABILITY = 0.5;
  private static final int MAX_BODY_LINES = 400;

  private final String id;
  private final String service;
  private final RequestTracker tracker;
  private final Random random;
  private final ServerSocket server;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final Semaphore slots = new Semaphore(SLOTS);
  private final AtomicInteger pendingRequests = new AtomicInteger();
  private volatile Fault fault = Fault.NONE;

  SoakTarget(String id, String service, RequestTracker tracker, long seed) throws IOException {
    this.id = id;
    this.service = service;
    this.tracker = tracker;
    this.random = new Random(seed);
    this.server = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().start(this::accept);
  }

  /** Returns the body of a successful response. */
  static String responseBody(String target, String request) {
    String line = target + " " + request + "\n";
    return line.repeat(1 + Math.floorMod(request.hashCode(), MAX_BODY_LINES));
  }

  /** Returns the signature that marks a response as written by a target. */
  static String signature(String request) {
    return "proof-of-" + request;
  }

  String id() {
    return id;
  }

  String service() {
    return service;
  }

  Endpoint address() {
    return new Endpoint(server.getInetAddress().getHostAddress(), server.getLocalPort());
  }

  void setFault(Fault newFault) {
    fault = newFault;
  }

  @Override
  public void close() throws IOException {
    server.close();
    sockets.forEach(SoakTarget::reset);
  }

  private static void reset(Socket socket) {
    try (socket) {
      socket.setSoLinger(true, 0);
    } catch (IOException e) {
      // The peer has closed the connection before.
    }
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        sockets.add(socket);
        Thread.ofVirtual().start(() -> serve(socket));
      } catch (IOException e) {
        return; // The target was closed.
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = socket.getInputStream();
      OutputStream out = socket.getOutputStream();
      Optional<HttpCodec.Message> request = HttpCodec.read(in);
      while (request.isPresent() && respond(request.get(), out)) {
        request = HttpCodec.read(in);
      }
    } catch (IOException | InterruptedException e) {
      // The entry closed the connection, or this target was closed. Executions are already
      // recorded.
    } finally {
      sockets.remove(socket);
    }
  }

  /** Responds to a request; returns whether the connection remains open. */
  private boolean respond(HttpCodec.Message request, OutputStream out)
      throws IOException, InterruptedException {
    if (request.startLineWord(1).equals(HEALTH_PATH)) {
      return sendResponse(out, 200, Map.of(), "ok");
    }
    String expectedTargetId = request.header(WireNames.EXPECTED_TARGET);
    if (!expectedTargetId.isEmpty() && !expectedTargetId.equals(id)) {
      return sendResponse(out, 421, Map.of(WireNames.NOT_EXECUTED, "1"), "");
    }
    Fault activeFault = random.nextDouble() < FAULT_PROBABILITY ? fault : Fault.NONE;
    try {
      if (pendingRequests.incrementAndGet() > SLOTS + MAX_QUEUED || activeFault == Fault.NOT_RUN) {
        return sendResponse(out, 503, Map.of(WireNames.NOT_EXECUTED, "1"), "");
      }
      if (!slots.tryAcquire(1, TimeUnit.SECONDS)) {
        return sendResponse(out, 503, Map.of(WireNames.NOT_EXECUTED, "1"), "");
      }
      try {
        return execute(request, activeFault, out);
      } finally {
        slots.release();
      }
    } finally {
      pendingRequests.decrementAndGet();
    }
  }

  private boolean execute(HttpCodec.Message request, Fault activeFault, OutputStream out)
      throws IOException, InterruptedException {
    String requestId = request.header(WireNames.REQUEST_ID);
    tracker.recordRun(
        requestId,
        new RequestTracker.Run(
            id,
            service,
            request.startLineWord(0),
            request.startLineWord(1),
            request.bodyText(),
            System.nanoTime()));
    Thread.sleep(activeFault == Fault.SLOW ? SLOW_SERVICE_TIME : SERVICE_TIME);
    Map<String, String> signedHeaders = new LinkedHashMap<>();
    signedHeaders.put(WireNames.REQUEST_ID, requestId);
    signedHeaders.put(WireNames.UPSTREAM_SIGNATURE, signature(requestId));
    byte[] response = encode(200, signedHeaders, responseBody(id, requestId));
    switch (activeFault) {
      case NONE, SLOW, NOT_RUN -> out.write(response);
      case ERROR_STATUS -> out.write(encode(500, signedHeaders, FAILURE_BODY));
      case HANG -> Thread.sleep(Duration.ofSeconds(3));
      case TRUNCATE -> out.write(response, 0, response.length - 2);
      case MALFORMED_RESPONSE -> out.write("no answer at all\n\n\n".getBytes());
      case EXTRA_RESPONSE -> {
        out.write(response);
        out.write(encode(200, signedHeaders, responseBody(id, requestId)));
      }
      default -> {
        // The connection is closed without a response.
      }
    }
    return activeFault == Fault.NONE
        || activeFault == Fault.SLOW
        || activeFault == Fault.ERROR_STATUS
        || activeFault == Fault.EXTRA_RESPONSE;
  }

  private boolean sendResponse(
      OutputStream out, int status, Map<String, String> headers, String body) throws IOException {
    out.write(encode(status, headers, body));
    return true;
  }

  private byte[] encode(int status, Map<String, String> extraHeaders, String body) {
    Map<String, String> headers = new LinkedHashMap<>(extraHeaders);
    headers.put(WireNames.RESPONDING_TARGET, id);
    int running = SLOTS - slots.availablePermits();
    int waiting = Math.max(0, pendingRequests.get() - running);
    headers.put(WireNames.LOAD_REPORT, running + "," + waiting + "," + SLOTS + ",100");
    return HttpCodec.encode("HTTP/1.1 " + status + " Said", headers, body.getBytes());
  }
}
