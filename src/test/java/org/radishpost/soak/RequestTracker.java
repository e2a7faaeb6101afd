package org.radishpost.soak;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Collectors;

/**
 * Records the requests and responses of callers and the executions at targets, and checks them
 * against the promises.
 *
 * <p>Thread-safe. All times are values of {@link System#nanoTime()}.
 */
final class RequestTracker {
  /** Statuses that guarantee that the request has not run and will not run. */
  private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

  /** The status of an attempt whose connection ended without a complete response. */
  static final int LOST = 0;

  /** The status of an attempt that its caller ended before there was a complete response. */
  static final int ABANDONED = -1;

  private static final int MAX_QUOTED_CHARACTERS = 60;
  private static final Set<Integer> DENIAL_STATUSES = Set.of(400, 401, 403, 404, 405, 413, 431);

  // The keys of the maps are attempts.
  private final Map<String, Request> requests = new ConcurrentHashMap<>();
  private final Map<String, Queue<Run>> runs = new ConcurrentHashMap<>();
  private final Map<String, Outcome> outcomes = new ConcurrentHashMap<>();
  private final Map<LossCause, Integer> losses = new ConcurrentHashMap<>();
  private final Queue<Violation> recordedViolations = new ConcurrentLinkedQueue<>();

  /**
   * One attempt of a caller to get a response to a request. Attempts may share a request id.
   *
   * @param id the request id
   * @param attemptNumber the number of the attempt among those with this id
   * @param entry the entry to which it was sent
   * @param method the HTTP method
   * @param path the request path
   * @param idempotent whether the request may run more than once
   * @param service the service of the route
   * @param bodyLine the text that the request body repeats
   * @param lineCount how many times the request body has the line
   */
  record Request(
      String id,
      int attemptNumber,
      String entry,
      String method,
      String path,
      boolean idempotent,
      String service,
      String bodyLine,
      int lineCount) {

    /** Returns the request body, which is not kept, because many are large. */
    String body() {
      return bodyLine.repeat(lineCount);
    }

    /** Returns the name of this attempt, which the caller sends in a header of its own. */
    String attempt() {
      return id + "/" + attemptNumber;
    }

    /** Returns another attempt with the same id. */
    Request repeated(int newNumber) {
      return new Request(
          id, newNumber, entry, method, path, idempotent, service, bodyLine, lineCount);
    }
  }

  /**
   * One execution of a request at a target.
   *
   * @param number a number that no other execution has
   * @param id the request id as received
   * @param target the target id
   * @param service the service of the target
   * @param method the HTTP method as received
   * @param path the request path as received
   * @param body the request body as received; empty if the target did not read it
   * @param status the status with which the target responds, if it does
   * @param startNanos the start time
   */
  record Run(
      int number,
      String id,
      String target,
      String service,
      String method,
      String path,
      Optional<String> body,
      int status,
      long startNanos) {

    /** Returns this execution without the memory that its body takes. */
    Run withoutBody() {
      return new Run(
          number, id, target, service, method, path, Optional.empty(), status, startNanos);
    }

    boolean matches(Request request) {
      return id.equals(request.id())
          && method.equals(request.method())
          && path.equals(request.path())
          && body.filter(received -> !received.equals(request.body())).isEmpty();
    }
  }

  /**
   * The outcome of an attempt as its caller observed it.
   *
   * @param status the response status, {@link #LOST} or {@link #ABANDONED}
   * @param endNanos the time of the outcome
   */
  record Outcome(int status, long endNanos) {}

  void recordRequest(Request request) {
    requests.put(request.attempt(), request);
  }

  void recordRun(String attempt, Run run) {
    Request request = requests.get(attempt);
    boolean unchanged = request != null && run.matches(request);
    runs.computeIfAbsent(attempt, unused -> new ConcurrentLinkedQueue<>())
        .add(unchanged ? run.withoutBody() : run);
  }

  void recordOutcome(Request request, int status) {
    outcomes.put(request.attempt(), new Outcome(status, System.nanoTime()));
  }

  /** Records that an attempt got no complete response. */
  void recordLoss(Request request, LossCause cause) {
    recordOutcome(request, LOST);
    losses.merge(cause, 1, Integer::sum);
  }

  /**
   * Checks that the caller of an attempt did not wait in vain.
   *
   * @param waitedMillis how long there was neither a complete response nor the end of the
   *     connection
   * @param limitMillis the longest wait that is allowed
   * @param cause who disturbed the attempt
   */
  void checkWait(Request request, long waitedMillis, long limitMillis, LossCause cause) {
    if (waitedMillis > limitMillis && (cause == LossCause.ENTRY || cause == LossCause.LIMIT)) {
      recordViolation(
          "UNANSWERED",
          "%s %s of %s waited %d ms; its runs: %s"
              .formatted(
                  request.method(),
                  request.attempt(),
                  request.entry(),
                  waitedMillis,
                  describe(runs(request.attempt()))));
    }
  }

  void recordViolation(String promise, String description) {
    recordedViolations.add(new Violation(promise, description));
  }

  /**
   * Records a response and checks that it is the response of an execution of this very attempt,
   * with the status of that execution, and that its body is complete and unchanged.
   */
  void recordResponse(Request request, HttpCodec.Message response) {
    recordOutcome(request, response.status());
    String signature = response.header("X-Upstream-Signature");
    boolean successful = response.status() / 100 == 2;
    if (!signature.isEmpty() || successful) {
      checkOrigin(request, response, signature);
    } else if (DENIAL_STATUSES.contains(response.status())) {
      recordViolation(
          "DENIED", request.attempt() + " of " + request.entry() + " got " + response.bodyText());
    }
  }

  private void checkOrigin(Request request, HttpCodec.Message response, String signature) {
    Optional<Run> origin =
        runs(request.attempt()).stream()
            .filter(run -> SoakTarget.signature(run).equals(signature))
            .findFirst();
    String expectedBody =
        origin.filter(run -> !run.method().equals("HEAD")).map(SoakTarget::responseBody).orElse("");
    if (origin.isEmpty()
        || origin.get().status() != response.status()
        || !response.bodyText().equals(expectedBody)) {
      recordViolation(
          "MIXED",
          "%s %s of %s got %s, signature %s of %s, body %d of %d characters%s; its runs: %s"
              .formatted(
                  request.method(),
                  request.attempt(),
                  request.entry(),
                  response.startLine(),
                  signature,
                  attemptsWith(signature),
                  response.bodyText().length(),
                  expectedBody.length(),
                  firstDifference(response.bodyText(), expectedBody),
                  describe(runs(request.attempt()))));
    }
  }

  /** Describes what a body has in place of the rest of the expected one. */
  private static String firstDifference(String body, String expectedBody) {
    int index = Arrays.mismatch(body.toCharArray(), expectedBody.toCharArray());
    if (index < 0) {
      return "";
    }
    int end = Math.min(body.length(), index + MAX_QUOTED_CHARACTERS);
    String quoted = body.substring(index, end).replace("\r", "\\r").replace("\n", "\\n");
    return ", from character " + index + " on '" + quoted + "'";
  }

  private List<String> attemptsWith(String signature) {
    return runs.entrySet().stream()
        .filter(
            entry ->
                entry.getValue().stream()
                    .anyMatch(run -> SoakTarget.signature(run).equals(signature)))
        .map(Map.Entry::getKey)
        .map(attempt -> attempt + " " + outcome(attempt).map(Outcome::status))
        .toList();
  }

  private static String describe(Collection<Run> runs) {
    return runs.stream()
        .map(run -> SoakTarget.signature(run) + " at " + run.target() + " with " + run.status())
        .collect(Collectors.joining(", ", "[", "]"));
  }

  /** Returns the number of requests with response status 200. */
  long successCount() {
    return outcomes.values().stream().filter(outcome -> outcome.status() == 200).count();
  }

  /** Returns the number of requests sent. */
  int requestCount() {
    return requests.size();
  }

  /** Returns the number of requests by response status. */
  Map<Integer, Long> countsByStatus() {
    return outcomes.values().stream()
        .collect(Collectors.groupingBy(Outcome::status, Collectors.counting()));
  }

  /** Returns the number of attempts without a complete response by who ended them. */
  Map<LossCause, Integer> countsByLossCause() {
    return new TreeMap<>(losses);
  }

  Optional<Outcome> outcome(String attempt) {
    return Optional.ofNullable(outcomes.get(attempt));
  }

  Collection<Run> runs(String attempt) {
    return List.copyOf(runs.getOrDefault(attempt, new ConcurrentLinkedQueue<>()));
  }

  /** Returns the number of executions that started at a target after the given time. */
  long runCount(String target, long afterNanos) {
    return runs.values().stream()
        .flatMap(Collection::stream)
        .filter(run -> run.target().equals(target) && run.startNanos() > afterNanos)
        .count();
  }

  Collection<Request> requestsTo(String entry) {
    return requests.values().stream().filter(request -> request.entry().equals(entry)).toList();
  }

  /** Returns all violations. Call this only after all callers and targets have stopped. */
  List<Violation> violations(int maxAttempts) {
    List<Violation> found = new ArrayList<>(recordedViolations);
    runs.forEach(
        (attempt, itsRuns) -> checkRuns(attempt, List.copyOf(itsRuns), maxAttempts, found));
    return found;
  }

  private void checkRuns(
      String attempt, List<Run> itsRuns, int maxAttempts, List<Violation> found) {
    Request request = requests.get(attempt);
    if (request == null) {
      found.add(
          new Violation("UNASKED", "No caller sent " + attempt + ", but: " + describe(itsRuns)));
      return;
    }
    for (Run run : itsRuns) {
      if (!run.matches(request)) {
        found.add(new Violation("UNASKED", attempt + " ran with another id, method, path or body"));
      }
      if (!run.service().equals(request.service())) {
        found.add(new Violation("ROUTE", attempt + " ran at service " + run.service()));
      }
    }
    if (!request.idempotent() && itsRuns.size() > 1) {
      found.add(new Violation("TWICE", attempt + " ran " + itsRuns.size() + " times"));
    }
    if (itsRuns.size() > maxAttempts) {
      found.add(new Violation("BUDGET", attempt + " ran " + itsRuns.size() + " times"));
    }
    boolean rejected =
        outcome(attempt).filter(outcome -> NOT_RUN_STATUSES.contains(outcome.status())).isPresent();
    if (!request.idempotent() && rejected) {
      found.add(
          new Violation(
              "REFUSED", attempt + " was rejected as not run, but: " + describe(itsRuns)));
    }
  }
}
