package org.radishpost.feed;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** The reading of a store that does as it is told, and notes it. */
final class FakeReader implements FeedReader {
  final List<String> done = new ArrayList<>();
  Optional<Position> position = Optional.of(new Position(10, 20));

  @Override
  public Optional<Position> position() {
    return position;
  }

  @Override
  public void newest(Feed feed, List<KeyedRecord> records, long next) {
    done.add("newest " + feed + " " + records.size() + " before " + next);
  }

  @Override
  public void records(Feed feed, List<KeyedRecord> records) {
    records.forEach(record -> done.add(feed + " " + record.key()));
  }

  @Override
  public void advance(Position upTo) {
    position = Optional.of(upTo);
  }

  @Override
  public void pause() {
    done.add("pause");
  }

  @Override
  public void resume() {
    done.add("resume");
  }
}
