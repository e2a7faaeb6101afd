package org.radishpost.http;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.radishpost.errors.RequestBodyException;
import org.reactivestreams.Publisher;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;
import reactor.core.CoreSubscriber;
import reactor.core.publisher.BaseSubscriber;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.core.publisher.Operators;

/** Reads the first part of a body and hands the subscription over for the rest. */
final class BodyReader extends BaseSubscriber<ByteBuf> {
  private final MonoSink<CallBody> result;
  private final int startBytes;
  private final ByteArrayOutputStream start = new ByteArrayOutputStream();
  private final AtomicBoolean used = new AtomicBoolean();
  private boolean started;
  private boolean completed;
  private Throwable failure;
  private CoreSubscriber<? super ByteBuf> next;

  private BodyReader(MonoSink<CallBody> result, int startBytes) {
    this.result = result;
    this.startBytes = startBytes;
  }

  static Mono<CallBody> read(Flux<ByteBuf> source, int startBytes) {
    return Mono.create(
        sink -> {
          BodyReader reader = new BodyReader(sink, startBytes);
          sink.onCancel(reader);
          source.subscribe(reader);
        });
  }

  @Override
  protected void hookOnSubscribe(Subscription subscription) {
    request(1);
  }

  @Override
  protected void hookOnNext(ByteBuf buffer) {
    if (!started) {
      keep(buffer);
      return;
    }
    next.onNext(buffer.retain());
  }

  private void keep(ByteBuf buffer) {
    start.writeBytes(CallBody.copy(buffer));
    if (start.size() <= startBytes) {
      request(1);
      return;
    }
    started = true;
    result.success(new CallBody(start.toByteArray(), Optional.of(this)));
  }

  /** Tells whether the rest has been asked for. */
  boolean used() {
    return used.get();
  }

  /** Returns what follows the first part, for one subscriber. */
  Flux<ByteBuf> remaining() {
    Publisher<ByteBuf> remaining = this::attach;
    return Flux.from(remaining);
  }

  /** Ends the reading unless somebody asked for the rest. */
  void cancelUnused() {
    if (used.compareAndSet(false, true)) {
      cancel();
    }
  }

  private void attach(Subscriber<? super ByteBuf> subscriber) {
    CoreSubscriber<? super ByteBuf> downstream = Operators.toCoreSubscriber(subscriber);
    if (!used.compareAndSet(false, true)) {
      Operators.error(
          downstream,
          new RequestBodyException("The body was used up: let the caller send it again.", null));
      return;
    }
    synchronized (this) {
      next = downstream;
    }
    downstream.onSubscribe(
        new Subscription() {
          @Override
          public void request(long count) {
            BodyReader.this.request(count);
          }

          @Override
          public void cancel() {
            BodyReader.this.cancel();
          }
        });
    endIfOver();
  }

  @Override
  protected void hookOnComplete() {
    if (!started) {
      result.success(CallBody.whole(start.toByteArray()));
      return;
    }
    synchronized (this) {
      completed = true;
    }
    endIfOver();
  }

  @Override
  protected void hookOnError(Throwable error) {
    if (!started) {
      result.error(error);
      return;
    }
    synchronized (this) {
      completed = true;
      failure = error;
    }
    endIfOver();
  }

  private void endIfOver() {
    CoreSubscriber<? super ByteBuf> downstream;
    synchronized (this) {
      if (!completed || next == null) {
        return;
      }
      completed = false;
      downstream = next;
    }
    if (failure == null) {
      downstream.onComplete();
    } else {
      downstream.onError(failure);
    }
  }
}
