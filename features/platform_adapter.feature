Feature: Platform adapter over the etcd JSON gateway

  Background:
    Given a platform service and an adapter

  Scenario: A key is written, read and deleted by its revision
    When the adapter writes "one" with expected revision 0
    Then the adapter reads "one"
    And a platform write with expected revision 0 fails with "revision-conflict"
    When the adapter deletes the key
    Then the adapter finds no key

  Scenario: The keys of a prefix are read with and without their values
    When the adapter writes "one" with expected revision 0
    Then a prefix read returns the key with "one"
    And a prefix read of revisions returns the key without its value

  Scenario: A key is deleted when its lease expires
    When the adapter writes "one" under a lease of 5 s
    Then the platform lease is renewed for less than 5 s
    When the platform lease expires
    Then the adapter finds no key
    And the platform lease can't be renewed
    And a platform write under the lease fails with "lease-expired"

  Scenario: A call fails without effect if the connection is refused
    Given the platform service is down
    Then a platform read fails with "platform-down"
    And a platform write with expected revision 0 fails with "platform-down"
    And a platform lease grant fails with "platform-down"

  Scenario: A write whose answer is lost may have taken effect
    Given the platform service drops the answer to 1 write
    Then a platform write with expected revision 0 fails with "platform-answer-lost"
    And the adapter reads "lost"

  Scenario: The outcome of a write is unknown after a timeout, unlike a read
    Given the platform service answers later than the adapter's timeout
    Then a platform read fails with "platform-down"
    And a platform write with expected revision 0 fails with "platform-answer-lost"

  Scenario: A watch reports every change after its start
    Given the adapter watches the prefix
    When the adapter writes "one" with expected revision 0
    Then the platform watch reports "one"
    When the adapter deletes the key
    Then the platform watch reports the deletion of the key

  Scenario: A failed watch reports its failure once
    Given the adapter watches the prefix
    And the platform service is down
    Then the platform watch fails once with "platform-down"

  Scenario: A cancelled watch reports nothing
    Given the adapter watches the prefix
    And the platform watch is cancelled
    When the adapter writes "one" with expected revision 0
    Then the platform watch has reported nothing

  Scenario: Calls are counted by kind
    Given the adapter watches the prefix
    When the adapter writes "one" with expected revision 0
    And the adapter writes "two" under a lease of 5 s
    Then the adapter has counted 2 writes, 1 lease, 1 watch and no failure
