package org.radishpost.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
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

  private static final Set<Integer> DENIAL_STATUSES = Set.of(400, 401, 403, 404, 405, 413, 431);

  private final Map<String, Request> requests = new ConcurrentHashMap<>();
  private final Map<String, Queue<Run>> runs = new ConcurrentHashMap<>();
  private final Map<String, Outcome> outcomes = new ConcurrentHashMap<>();
  private final Queue<Violation> recordedViolations = new ConcurrentLinkedQueue<>();

  /**
   * A request of a caller.
   *
   * @param id the request id
   * @param entry the entry to which it was sent
   * @param method the HTTP method
   * @param path the request path
   * @param idempotent whether the request may run more than once
   * @param service the service of the route
   * @param body the request body
   */
  record Request(
      String id,
      String entry,
      String method,
      String path,
      boolean idempotent,
      String service,
      String body) {}

  /**
   * One execution of a request at a target.
   *
   * @param target the target id
   * @param service the service of the target
   * @param method the HTTP method as received
   * @param path the request path as received
   * @param body the request body as received
   * @param startNanos the start time
   */
  record Run(
      String target, String service, String method, String path, String body, long startNanos) {}

  /**
   * The outcome of a request as its caller observed it.
   *
   * @param status the response status, or 0 if the connection closed without a complete response
   * @param endNanos the time of the outcome
   */
  record Outcome(int status, long endNanos) {}

  void recordRequest(Request request) {
    requests.put(request.id(), request);
  }

  void recordRun(String id, Run run) {
    runs.computeIfAbsent(id, unused -> new ConcurrentLinkedQueue<>()).add(run);
  }

  void recordOutcome(String id, int status) {
    outcomes.put(id, new Outcome(status, System.nanoTime()));
  }

  void recordViolation(String promise, String description) {
    recordedViolations.add(new Violation(promise, description));
  }

  /**
   * Records a response and checks that it belongs to the request and that its body is complete and
   * unchanged.
   */
  void recordResponse(Request request, HttpCodec.Message response) {
    recordOutcome(request.id(), response.status());
    String signature = response.header("X-Upstream-Signature");
    boolean fromTarget = !signature.isEmpty();
    boolean successful = response.status() / 100 == 2;
    if (fromTarget || successful) {
      String target = response.header("X-Instance-Id");
      String expectedBody =
          successful ? SoakTarget.responseBody(target, request.id()) : SoakTarget.FAILURE_BODY;
      if (!signature.equals(SoakTarget.signature(request.id()))
          || !response.bodyText().equals(expectedBody)) {
        recordViolation(
            "MIXED", request.id() + " of " + request.entry() + " got " + response.startLine());
      }
    } else if (DENIAL_STATUSES.contains(response.status())) {
      recordViolation(
          "DENIED", request.id() + " of " + request.entry() + " got " + response.bodyText());
    }
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

  Optional<Outcome> outcome(String id) {
    return Optional.ofNullable(outcomes.get(id));
  }

  Collection<Run> runs(String id) {
    return List.copyOf(runs.getOrDefault(id, new ConcurrentLinkedQueue<>()));
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
    runs.forEach((id, requestRuns) -> checkRuns(id, List.copyOf(requestRuns), maxAttempts, found));
    return found;
  }

  private void checkRuns(String id, List<Run> requestRuns, int maxAttempts, List<Violation> found) {
    Request request = requests.get(id);
    if (request == null) {
      found.add(new Violation("UNASKED", "No caller sent " + id + ", but it ran: " + requestRuns));
      return;
    }
    for (Run run : requestRuns) {
      if (!run.method().equals(request.method())
          || !run.path().equals(request.path())
          || !run.body().equals(request.body())) {
        found.add(
            new Violation("UNASKED", id + " ran with a changed method, path or body: " + run));
      }
      if (!run.service().equals(request.service())) {
        found.add(new Violation("ROUTE", id + " ran at service " + run.service()));
      }
    }
    if (!request.idempotent() && requestRuns.size() > 1) {
      found.add(new Violation("TWICE", id + " ran " + requestRuns.size() + " times"));
    }
    if (requestRuns.size() > maxAttempts) {
      found.add(new Violation("BUDGET", id + " ran " + requestRuns.size() + " times"));
    }
    boolean rejected =
        outcome(id).filter(outcome -> NOT_RUN_STATUSES.contains(outcome.status())).isPresent();
    if (!request.idempotent() && rejected) {
      found.add(new Violation("REFUSED", id + " was rejected as not run, but ran: " + requestRuns));
    }
  }
}
