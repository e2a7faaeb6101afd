package org.radishpost.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.radishpost.lib.Endpoint;
import org.radishpost.platform.WireNames;

/**
 * Sends random requests and keeps each connection open until the entry or the link closes it.
 *
 * <p>Some requests are sent again with the same id: after a response was lost, after the caller
 * gave up, at the same time on another connection, and after a response, as if it had been lost.
 */
final class Caller implements Runnable {
  private static final int DEADLINE_MILLIS = 2_000;
  private static final int MAX_WAIT_MILLIS = DEADLINE_MILLIS + 1_000;
  private static final int READ_TIMEOUT_MILLIS = 5_000;
  private static final int MAX_BODY_LINES = 3_000;
  private static final int MAX_PAUSE_MILLIS = 40;
  private static final int PAUSE_AFTER_FAILURE_MILLIS = 50;
  private static final int PIPELINE_LENGTH = 3;
  private static final double SECOND_ATTEMPT_PROBABILITY = 0.1;
  private static final double IMPATIENCE_PROBABILITY = 0.1;
  private static final double REPEAT_PROBABILITY = 0.3;
  private static final int MAX_IMPATIENCE_MILLIS = 200;
  private static final String UPLOAD_PREFIX = "/uploads/";
  private static final int MIN_UPLOAD_LINES = 20_000;
  private static final int MAX_UPLOAD_LINES = 90_000;

  /** About 5 MB: more than the socket buffers between an entry and a target take. */
  private static final int HUGE_UPLOAD_LINES = 500_000;

  private static final int UPLOAD_PARTS = 64;
  private static final int UPLOAD_PAUSE_MILLIS = 2;

  private final String name;
  private final Random random;
  private final RequestTracker tracker;
  private final SoakSystem system;
  private final BooleanSupplier keepRunning;
  private int requestCount;
  private Optional<RequestTracker.Request> repeat = Optional.empty();

  Caller(
      String name,
      long seed,
      RequestTracker tracker,
      SoakSystem system,
      BooleanSupplier keepRunning) {
    this.name = name;
    this.random = new Random(seed);
    this.tracker = tracker;
    this.system = system;
    this.keepRunning = keepRunning;
  }

  @Override
  public void run() {
    List<String> entries = List.copyOf(system.entryAddresses().keySet());
    while (keepRunning.getAsBoolean()) {
      String entry =
          repeat
              .map(RequestTracker.Request::entry)
              .orElseGet(() -> entries.get(random.nextInt(entries.size())));
      try (Socket socket = connect(entry)) {
        while (keepRunning.getAsBoolean() && exchangeBatch(entry, socket)) {
          if (repeat.isEmpty()) {
            Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
          }
        }
      } catch (IOException e) {
        // The entry or the link is down; the outcome of each request sent is already recorded.
        pauseAfterFailure();
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Sends one read on a new connection; returns whether the response has status 200. */
  boolean sendRead(String entry, String pathPrefix) {
    RequestTracker.Request request = newRead(entry, "GET", pathPrefix);
    tracker.recordRequest(request);
    try (Socket socket = connect(entry)) {
      send(List.of(request), socket);
      Optional<HttpCodec.Message> response = HttpCodec.read(socket.getInputStream());
      return response.filter(message -> message.status() == 200).isPresent();
    } catch (IOException e) {
      return false; // The entry has not recovered yet.
    }
  }

  private Socket connect(String entry) throws IOException {
    Endpoint address = system.entryAddresses().get(entry);
    Socket socket = new Socket(address.ip(), address.port());
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    return socket;
  }

  private void pauseAfterFailure() {
    try {
      Thread.sleep(PAUSE_AFTER_FAILURE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Sends one request or several pipelined reads, sometimes a second attempt with the same id at
   * the same time, or next; returns whether the connection remains open.
   */
  private boolean exchangeBatch(String entry, Socket socket)
      throws IOException, InterruptedException {
    List<RequestTracker.Request> batch = nextBatch(entry);
    for (RequestTracker.Request request : batch) {
      tracker.recordRequest(request);
    }
    RequestTracker.Request last = batch.getLast();
    List<Thread> second =
        batch.size() == 1 && draws(SECOND_ATTEMPT_PROBABILITY)
            ? List.of(Thread.ofVirtual().start(attemptOnNewConnection(again(last))))
            : List.of();
    try {
      boolean open = exchange(batch, socket);
      if (open && draws(REPEAT_PROBABILITY)) {
        repeat = Optional.of(again(last));
        return random.nextBoolean();
      }
      return open;
    } finally {
      for (Thread attempt : second) {
        attempt.join();
      }
    }
  }

  private boolean exchange(List<RequestTracker.Request> batch, Socket socket) throws IOException {
    boolean impatient = batch.size() == 1 && draws(IMPATIENCE_PROBABILITY);
    socket.setSoTimeout(
        impatient ? 1 + random.nextInt(MAX_IMPATIENCE_MILLIS) : READ_TIMEOUT_MILLIS);
    Optional<Thread> upload = Optional.empty();
    long sentNanos = System.nanoTime();
    for (int index = 0; index < batch.size(); index++) {
      RequestTracker.Request request = batch.get(index);
      try {
        if (index == 0) {
          upload = send(batch, socket);
        }
        if (!receive(request, socket, sentNanos)) {
          return false;
        }
      } catch (SocketTimeoutException e) {
        if (impatient) {
          tracker.recordOutcome(request, RequestTracker.ABANDONED);
        } else {
          tracker.recordLoss(request, cause(request, socket, sentNanos, true));
        }
        repeat = Optional.of(again(request));
        return false;
      } catch (IOException e) {
        tracker.recordLoss(request, cause(request, socket, sentNanos, false));
        repeat = random.nextBoolean() ? Optional.of(again(request)) : Optional.empty();
        throw e;
      }
    }
    return upload.filter(Thread::isAlive).isEmpty();
  }

  private Runnable attemptOnNewConnection(RequestTracker.Request request) {
    tracker.recordRequest(request);
    return () -> {
      try (Socket socket = connect(request.entry())) {
        exchangeOnce(request, socket);
      } catch (IOException e) {
        tracker.recordLoss(request, LossCause.LINK); // The proxy ended before the entry was asked.
      }
    };
  }

  private void exchangeOnce(RequestTracker.Request request, Socket socket) {
    long sentNanos = System.nanoTime();
    try {
      send(List.of(request), socket);
      receive(request, socket, sentNanos);
    } catch (IOException e) {
      boolean timedOut = e instanceof SocketTimeoutException;
      tracker.recordLoss(request, cause(request, socket, sentNanos, timedOut));
    }
  }

  private LossCause cause(
      RequestTracker.Request request, Socket socket, long sentNanos, boolean timedOut) {
    return system.lossCause(request.entry(), socket.getLocalPort(), sentNanos, timedOut);
  }

  private boolean draws(double probability) {
    return random.nextDouble() < probability;
  }

  private RequestTracker.Request again(RequestTracker.Request request) {
    return request.repeated(requestCount++);
  }

  private List<RequestTracker.Request> nextBatch(String entry) {
    if (repeat.isPresent()) {
      List<RequestTracker.Request> batch = List.of(repeat.get());
      repeat = Optional.empty();
      return batch;
    }
    List<RequestTracker.Request> batch = new ArrayList<>();
    int draw = random.nextInt(30);
    int size = draw < 3 ? PIPELINE_LENGTH : 1;
    for (int number = 0; number < size; number++) {
      batch.add(nextRequest(entry, draw));
    }
    return batch;
  }

  private RequestTracker.Request nextRequest(String entry, int draw) {
    if (draw < 18) {
      return newRead(entry, draw < 15 ? "GET" : "HEAD", "/reads/");
    }
    if (draw < 27) {
      return newWrite(entry, "/writes/", draw < 25 ? 1 : random.nextInt(MAX_BODY_LINES));
    }
    int range = MAX_UPLOAD_LINES - MIN_UPLOAD_LINES;
    int lineCount = MIN_UPLOAD_LINES + random.nextInt(range);
    return newWrite(entry, UPLOAD_PREFIX, random.nextBoolean() ? HUGE_UPLOAD_LINES : lineCount);
  }

  private RequestTracker.Request newRead(String entry, String method, String pathPrefix) {
    String id = name + "-" + requestCount++;
    return new RequestTracker.Request(
        id, 0, entry, method, pathPrefix + id, true, "reading", "", 0);
  }

  private RequestTracker.Request newWrite(String entry, String pathPrefix, int lineCount) {
    String id = name + "-" + requestCount++;
    return new RequestTracker.Request(
        id, 0, entry, "POST", pathPrefix + id, false, "writing", id + "\n", lineCount);
  }

  /** Sends requests; returns the thread that still sends if the last one is an upload. */
  private static Optional<Thread> send(List<RequestTracker.Request> batch, Socket socket)
      throws IOException {
    for (RequestTracker.Request request : batch) {
      byte[] message = encode(request);
      if (request.path().startsWith(UPLOAD_PREFIX)) {
        return Optional.of(Thread.ofVirtual().start(() -> sendSlowly(message, socket)));
      }
      socket.getOutputStream().write(message);
    }
    return Optional.empty();
  }

  private static byte[] encode(RequestTracker.Request request) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Host", SoakSystem.HOST);
    headers.put(WireNames.REQUEST_ID, request.id());
    headers.put(WireNames.DEADLINE_MILLIS, String.valueOf(DEADLINE_MILLIS));
    headers.put(SoakTarget.ATTEMPT_HEADER, request.attempt());
    String requestLine = request.method() + " " + request.path() + " HTTP/1.1";
    return HttpCodec.encode(requestLine, headers, request.body().getBytes());
  }

  private static void sendSlowly(byte[] message, Socket socket) {
    try {
      OutputStream out = socket.getOutputStream();
      int partSize = 1 + message.length / UPLOAD_PARTS;
      for (int start = 0; start < message.length; start += partSize) {
        out.write(message, start, Math.min(partSize, message.length - start));
        Thread.sleep(UPLOAD_PAUSE_MILLIS);
      }
    } catch (IOException | InterruptedException e) {
      // The connection ended; the thread that reads the response records the outcome.
    }
  }

  private boolean receive(RequestTracker.Request request, Socket socket, long sentNanos)
      throws IOException {
    long startNanos = System.nanoTime();
    try {
      Optional<HttpCodec.Message> response = readResponse(request, socket.getInputStream());
      if (response.isEmpty()) {
        tracker.recordLoss(request, cause(request, socket, sentNanos, false));
        return false;
      }
      tracker.recordResponse(request, response.get());
      return !response.get().header("Connection").equalsIgnoreCase("close");
    } finally {
      long waitedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
      LossCause cause = cause(request, socket, sentNanos, false);
      tracker.checkWait(request, waitedMillis, MAX_WAIT_MILLIS, cause);
    }
  }

  private static Optional<HttpCodec.Message> readResponse(
      RequestTracker.Request request, InputStream in) throws IOException {
    return request.method().equals("HEAD") ? HttpCodec.readHead(in) : HttpCodec.read(in);
  }
}
