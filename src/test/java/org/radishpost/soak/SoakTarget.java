package org.radishpost.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.Arrays;
import java.util.EnumSet;
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
  /** The header in which callers name their attempt; entries forward it as they got it. */
  static final String ATTEMPT_HEADER = "X-Soak-Attempt";

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
    /** Sends each response twice. */
    EXTRA_RESPONSE,
    /** Responds after a random time, with a success or a failure, and sends a copy of it later. */
    LATE_COPY,
    /** The end of the connection ends the body. */
    NO_LENGTH,
    /** Sends half of a body without a length and resets; may leave the request body unread. */
    CUT_NO_LENGTH,
    /** Sends half of a body in chunks and closes. */
    CUT_CHUNKED,
    /** Sends each response twice, in one of the ways of {@link Stutter}. */
    STUTTER
  }

  /** The faults after which a connection carries further requests. */
  private static final Set<Fault> OPEN_AFTER =
      EnumSet.of(Fault.NONE, Fault.SLOW, Fault.ERROR_STATUS, Fault.EXTRA_RESPONSE, Fault.LATE_COPY);

  private static final Map<String, String> CHUNKED = Map.of("Transfer-Encoding", "chunked");
  private static final Duration HANG_TIME = Duration.ofSeconds(3);
  private static final Duration SERVICE_TIME = Duration.ofMillis(15);
  private static final Duration SLOW_SERVICE_TIME = Duration.ofMillis(600);
  private static final int MAX_QUEUED = 4;
  private static final int BACKLOG = 100;
  private static final double FAULT_PROBABILITY = 0.5;
  private static final int MAX_BODY_LINES = 400;
  private static final int MIN_COPY_DELAY_MILLIS = 20;
  private static final int MAX_COPY_DELAY_MILLIS = 300;
  private static final int MAX_RESET_DELAY_MILLIS = 400;
  private static final int RECEIVE_BUFFER_BYTES = 32_768;
  private static final AtomicInteger RUN_COUNT = new AtomicInteger();

  private final String id;
  private final String service;
  private final RequestTracker tracker;
  private final Random random;
  private final ServerSocket server;
  private final ResponseEncoder encoder;
  private final Stutter stutter;
  private final Set<TargetConnection> connections = ConcurrentHashMap.newKeySet();
  private final Semaphore slots = new Semaphore(SLOTS);
  private final AtomicInteger pendingRequests = new AtomicInteger();
  private volatile Fault fault = Fault.NONE;

  SoakTarget(String id, String service, RequestTracker tracker, long seed) throws IOException {
    this.id = id;
    this.service = service;
    this.tracker = tracker;
    this.random = new Random(seed);
    this.encoder = new ResponseEncoder(id, this::loadReport);
    this.stutter = new Stutter(encoder, random);
    this.server = new ServerSocket();
    server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES); // So an upload waits for its reader.
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
    Thread.ofVirtual().start(this::accept);
  }

  /** Returns the whole body of the response of an execution, which no other execution has. */
  static String responseBody(RequestTracker.Run run) {
    String line = run.status() + " " + run.target() + " " + signature(run) + "\n";
    return line.repeat(1 + Math.floorMod(line.hashCode(), MAX_BODY_LINES));
  }

  /** Returns the signature of the response of an execution, which no other execution has. */
  static String signature(RequestTracker.Run run) {
    return "proof-of-" + run.id() + "." + run.number();
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
    connections.forEach(TargetConnection::reset);
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        TargetConnection connection = new TargetConnection(socket);
        connections.add(connection);
        Thread.ofVirtual().start(() -> serve(connection));
      } catch (IOException e) {
        return; // The target was closed.
      }
    }
  }

  private void serve(TargetConnection connection) {
    try (connection) {
      InputStream in = connection.inputStream();
      Optional<HttpCodec.Message> head = HttpCodec.readHead(in);
      while (head.isPresent() && respond(head.get(), connection)) {
        head = HttpCodec.readHead(in);
      }
    } catch (IOException | InterruptedException e) {
      // The entry closed the connection, or this target was closed. Executions are already
      // recorded.
    } finally {
      connections.remove(connection);
    }
  }

  /** Responds to a request; returns whether the connection remains open. */
  private boolean respond(HttpCodec.Message head, TargetConnection connection)
      throws IOException, InterruptedException {
    if (head.startLineWord(1).equals(HEALTH_PATH)) {
      connection.send(encoder.encodeUnsigned(200, Map.of(), "ok"));
      return true;
    }
    String expectedTargetId = head.header(WireNames.EXPECTED_TARGET);
    boolean expected = expectedTargetId.isEmpty() || expectedTargetId.equals(id);
    Fault activeFault = random.nextDouble() < FAULT_PROBABILITY ? fault : Fault.NONE;
    if (expected && activeFault == Fault.CUT_NO_LENGTH) {
      return cutWithoutLength(head, connection);
    }
    HttpCodec.Message request = HttpCodec.readBody(connection.inputStream(), head);
    if (!expected) {
      connection.send(encoder.encodeUnsigned(421, Map.of(WireNames.NOT_EXECUTED, "1"), ""));
      return true;
    }
    return respondInSlot(request, activeFault, connection);
  }

  private boolean respondInSlot(
      HttpCodec.Message request, Fault activeFault, TargetConnection connection)
      throws IOException, InterruptedException {
    try {
      if (pendingRequests.incrementAndGet() > SLOTS + MAX_QUEUED || activeFault == Fault.NOT_RUN) {
        connection.send(encoder.encodeRefusal(Map.of()));
        return true;
      }
      if (!slots.tryAcquire(1, TimeUnit.SECONDS)) {
        connection.send(encoder.encodeRefusal(Map.of()));
        return true;
      }
      try {
        RequestTracker.Run run = startRun(request, Optional.of(request.bodyText()), activeFault);
        Thread.sleep(serviceTime(activeFault));
        return finishRun(run, activeFault, connection);
      } finally {
        slots.release();
      }
    } finally {
      pendingRequests.decrementAndGet();
    }
  }

  private RequestTracker.Run startRun(
      HttpCodec.Message request, Optional<String> body, Fault activeFault) {
    boolean failing =
        activeFault == Fault.ERROR_STATUS
            || activeFault == Fault.LATE_COPY && random.nextInt(4) == 0;
    RequestTracker.Run run =
        new RequestTracker.Run(
            RUN_COUNT.incrementAndGet(),
            request.header(WireNames.REQUEST_ID),
            id,
            service,
            request.startLineWord(0),
            request.startLineWord(1),
            body,
            failing ? 500 : 200,
            System.nanoTime());
    tracker.recordRun(request.header(ATTEMPT_HEADER), run);
    return run;
  }

  private Duration serviceTime(Fault activeFault) {
    return switch (activeFault) {
      case SLOW -> SLOW_SERVICE_TIME;
      case LATE_COPY, STUTTER -> Duration.ofMillis(random.nextInt(MAX_COPY_DELAY_MILLIS));
      default -> SERVICE_TIME;
    };
  }

  /** Sends the response of a run; returns whether the connection remains open. */
  private boolean finishRun(RequestTracker.Run run, Fault activeFault, TargetConnection connection)
      throws IOException, InterruptedException {
    byte[] response = encoder.encode(run);
    switch (activeFault) {
      case EXTRA_RESPONSE -> {
        connection.send(response);
        connection.send(response);
      }
      case LATE_COPY -> {
        connection.send(response);
        connection.sendLater(copyDelay(), response);
      }
      case HANG -> Thread.sleep(HANG_TIME);
      case TRUNCATE -> connection.sendLast(Arrays.copyOf(response, response.length - 2));
      case MALFORMED_RESPONSE -> connection.sendLast("no answer at all\n\n\n".getBytes());
      case NO_LENGTH ->
          connection.sendLast(encoder.encodeUnframed(run, Map.of(), responseBody(run)));
      case CUT_CHUNKED ->
          connection.sendLast(encoder.encodeUnframed(run, CHUNKED, firstChunk(run)));
      case CLOSE_WITHOUT_RESPONSE -> {
        // The connection is closed without a response.
      }
      case STUTTER -> {
        return stutter.send(run, connection);
      }
      default -> connection.send(response);
    }
    return OPEN_AFTER.contains(activeFault);
  }

  private boolean cutWithoutLength(HttpCodec.Message head, TargetConnection connection)
      throws IOException, InterruptedException {
    Optional<String> requestBody =
        random.nextInt(4) == 0
            ? Optional.of(HttpCodec.readBody(connection.inputStream(), head).bodyText())
            : Optional.empty();
    RequestTracker.Run run = startRun(head, requestBody, Fault.CUT_NO_LENGTH);
    String body = responseBody(run);
    connection.send(encoder.encodeUnframed(run, Map.of(), body.substring(0, body.length() / 2)));
    Thread.sleep(random.nextInt(MAX_RESET_DELAY_MILLIS));
    connection.reset();
    return false;
  }

  private static String firstChunk(RequestTracker.Run run) {
    String body = responseBody(run);
    String half = body.substring(0, body.length() / 2);
    return Integer.toHexString(half.length()) + "\r\n" + half + "\r\n";
  }

  private Duration copyDelay() {
    int range = MAX_COPY_DELAY_MILLIS - MIN_COPY_DELAY_MILLIS;
    return Duration.ofMillis(MIN_COPY_DELAY_MILLIS + random.nextInt(range));
  }

  private String loadReport() {
    int running = SLOTS - slots.availablePermits();
    int waiting = Math.max(0, pendingRequests.get() - running);
    return running + "," + waiting + "," + SLOTS + ",100";
  }
}
