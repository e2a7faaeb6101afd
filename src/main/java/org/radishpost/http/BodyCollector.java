package org.radishpost.http;

import io.netty.buffer.ByteBuf;
import java.util.function.Supplier;
import org.radishpost.errors.MemoryBudgetException;
import org.radishpost.errors.RadishpostException;
import reactor.core.Exceptions;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Collects bodies in memory, each up to a limit and all of them within a budget. Confined to one
 * thread.
 */
public final class BodyCollector {
  private final ByteBudget budget;
  private final int maxBodyBytes;
  private final Supplier<RadishpostException> tooLarge;

  /**
   * Creates a collector.
   *
   * @param budget bounds the bytes of all bodies that are being collected
   * @param maxBodyBytes the maximum size of a body, of which each part counts as {@value
   *     PartCost#MIN_PART_BYTES} bytes at least
   * @param tooLarge creates the error for a body that is larger
   */
  public BodyCollector(
      ByteBudget budget, int maxBodyBytes, Supplier<RadishpostException> tooLarge) {
    this.budget = budget;
    this.maxBodyBytes = maxBodyBytes;
    this.tooLarge = tooLarge;
  }

  /**
   * Collects a body.
   *
   * @return the bytes; fails if the body is too large, or with {@link MemoryBudgetException} if it
   *     was the largest one when the budget was exceeded. In the latter case its bytes are dropped
   *     at once, and it fails with its next part, so that no other call runs within this one.
   */
  public Mono<BodyBytes> collect(Flux<ByteBuf> body) {
    return Mono.defer(
        () -> {
          BodyBytes bytes = new BodyBytes(budget);
          return body.collect(() -> bytes, this::append)
              .doOnNext(this::checkNotDropped)
              .onErrorMap(Exceptions::unwrap)
              .doFinally(signal -> bytes.release());
        });
  }

  private void append(BodyBytes bytes, ByteBuf part) {
    try {
      if (bytes.cost() + PartCost.of(part) > maxBodyBytes) {
        throw Exceptions.propagate(tooLarge.get());
      }
      bytes.append(part);
      checkNotDropped(bytes);
    } finally {
      part.release();
    }
  }

  private void checkNotDropped(BodyBytes bytes) {
    if (bytes.isDropped()) {
      throw Exceptions.propagate(budgetExceeded());
    }
  }

  private MemoryBudgetException budgetExceeded() {
    return new MemoryBudgetException(
        "The responses in memory exceed "
            + budget.maxBytes()
            + " bytes and this one is the largest: check that its sender ends its responses.");
  }
}
