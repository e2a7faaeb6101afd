package org.radishpost.http;

import java.util.concurrent.atomic.AtomicReference;
import org.radishpost.errors.ConnectionLostException;
import org.radishpost.errors.NotConnectedException;
import org.radishpost.errors.RadishpostException;
import org.radishpost.errors.RequestBodyException;
import org.radishpost.errors.ResponseTimeoutException;
import org.radishpost.lib.Endpoint;
import reactor.core.publisher.Mono;

/**
 * One attempt to send a call, which decides once whether bytes may go out or it failed before.
 *
 * <p>Thread-safe.
 */
final class SendAttempt {
  private final AtomicReference<Stage> stage = new AtomicReference<>(Stage.WAITING);
  private volatile Throwable bodyFailure;

  private enum Stage {
    WAITING,
    SENDING,
    ABANDONED
  }

  /** Tells whether the first byte may go out now. */
  boolean tryStart() {
    return stage.compareAndSet(Stage.WAITING, Stage.SENDING);
  }

  /** Returns the end of an attempt that got its connection after it was given up. */
  Mono<Void> abandoned() {
    return Mono.error(ResponseTimeoutSignal::new);
  }

  /** Remembers that the request's body failed. */
  void recordBodyFailure(Throwable error) {
    bodyFailure = error;
  }

  /** Returns what a failure means; no byte goes out after one that says so. */
  RadishpostException toException(Throwable error, Endpoint address) {
    if (stage.compareAndSet(Stage.WAITING, Stage.ABANDONED)) {
      return new NotConnectedException(
          "No connection to " + address + ": check that it listens there.", error);
    }
    if (bodyFailure != null) {
      return new RequestBodyException(
          "The body of the request broke off: let the caller send it again.", bodyFailure);
    }
    return switch (error) {
      case RadishpostException known -> known;
      case ResponseTimeoutSignal timeout ->
          new ResponseTimeoutException(
              "No answer from " + address + " in time: look at its load and its log.");
      default ->
          new ConnectionLostException(
              "The connection to " + address + " died: look at the log of that end.", error);
    };
  }

  /** Marks the end of the wait inside this package. */
  static final class ResponseTimeoutSignal extends Exception {
    private static final long serialVersionUID = 1L;

    ResponseTimeoutSignal() {
      super("time limit", null, false, false);
    }
  }
}
