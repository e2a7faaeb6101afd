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

/** Buffers the first part of a request body and passes the remainder on to a single subscriber. */
final class BodyReader extends BaseSubscriber<ByteBuf> {
  private final MonoSink<CallBody> result;
  private final int maxPrefixBytes;
  private final ByteArrayOutputStream prefix = new ByteArrayOutputStream();
  private final AtomicBoolean remainderRequested = new AtomicBoolean();
  private boolean prefixComplete;
  private boolean terminated;
  private Throwable failure;
  private CoreSubscriber<? super ByteBuf> remainderSubscriber;

  private BodyReader(MonoSink<CallBody> result, int maxPrefixBytes) {
    this.result = result;
    this.maxPrefixBytes = maxPrefixBytes;
  }

  /** Reads the source until it ends or more than {@code maxPrefixBytes} bytes have been read. */
  static Mono<CallBody> read(Flux<ByteBuf> source, int maxPrefixBytes) {
    return Mono.create(
        sink -> {
          BodyReader reader = new BodyReader(sink, maxPrefixBytes);
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
    if (!prefixComplete) {
      appendToPrefix(buffer);
      return;
    }
    remainderSubscriber.onNext(buffer.retain());
  }

  private void appendToPrefix(ByteBuf buffer) {
    prefix.writeBytes(CallBody.toBytes(buffer));
    if (prefix.size() <= maxPrefixBytes) {
      request(1);
      return;
    }
    prefixComplete = true;
    result.success(new CallBody(prefix.toByteArray(), Optional.of(this)));
  }

  /** Returns whether the remainder has been requested or the body has been cancelled. */
  boolean remainderRequested() {
    return remainderRequested.get();
  }

  /** Returns the bytes after the first part, for one subscriber. */
  Flux<ByteBuf> remainder() {
    Publisher<ByteBuf> publisher = this::subscribeToRemainder;
    return Flux.from(publisher);
  }

  /** Cancels the source unless the remainder has already been requested. */
  void cancelIfUnrequested() {
    if (remainderRequested.compareAndSet(false, true)) {
      cancel();
    }
  }

  private void subscribeToRemainder(Subscriber<? super ByteBuf> subscriber) {
    CoreSubscriber<? super ByteBuf> downstream = Operators.toCoreSubscriber(subscriber);
    if (!remainderRequested.compareAndSet(false, true)) {
      Operators.error(
          downstream,
          new RequestBodyException(
              "The request body has already been consumed. The caller must send the request again.",
              null));
      return;
    }
    synchronized (this) {
      remainderSubscriber = downstream;
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
    propagateTermination();
  }

  @Override
  protected void hookOnComplete() {
    if (!prefixComplete) {
      result.success(CallBody.buffered(prefix.toByteArray()));
      return;
    }
    synchronized (this) {
      terminated = true;
    }
    propagateTermination();
  }

  @Override
  protected void hookOnError(Throwable error) {
    if (!prefixComplete) {
      result.error(error);
      return;
    }
    synchronized (this) {
      terminated = true;
      failure = error;
    }
    propagateTermination();
  }

  private void propagateTermination() {
    CoreSubscriber<? super ByteBuf> downstream;
    synchronized (this) {
      if (!terminated || remainderSubscriber == null) {
        return;
      }
      terminated = false;
      downstream = remainderSubscriber;
    }
    if (failure == null) {
      downstream.onComplete();
    } else {
      downstream.onError(failure);
    }
  }
}
