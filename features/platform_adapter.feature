Feature: The platform's service over its JSON gateway

  Background:
    Given a platform service with an adapter

  Scenario: A key is written, read and deleted by its revision
    When the adapter writes "one" upon revision 0
    Then the adapter reads "one"
    And a platform write upon revision 0 fails with "revision-conflict"
    When the adapter deletes the key
    Then the adapter reads nothing

  Scenario: Keys under a prefix come with and without their values
    When the adapter writes "one" upon revision 0
    Then the platform prefix lists the key with "one"
    And the platform prefix lists the key's revision alone

  Scenario: A lease binds a key until it ends
    When the adapter writes "one" under a lease of 5 s
    Then the platform lease is renewed for at most 5 s
    When the platform lease lapses
    Then the adapter reads nothing
    And the platform lease can't be renewed
    And a platform write under the lease fails with "lease-expired"

  Scenario: A refused connection has no effect
    Given the platform service is down
    Then a platform read fails with "platform-down"
    And a platform write upon revision 0 fails with "platform-down"
    And a platform lease fails with "platform-down"

  Scenario: A write whose answer breaks off may have taken effect
    Given the platform service loses the answer to 1 write
    Then a platform write upon revision 0 fails with "platform-answer-lost"
    And the adapter reads "lost"

  Scenario: A slow read is safe and a slow write is in doubt
    Given the platform service is slower than the adapter waits
    Then a platform read fails with "platform-down"
    And a platform write upon revision 0 fails with "platform-answer-lost"

  Scenario: A watch misses nothing that follows it
    Given the adapter watches the prefix
    When the adapter writes "one" upon revision 0
    Then the platform watch reports "one"
    When the adapter deletes the key
    Then the platform watch reports nothing left

  Scenario: A broken watch is told once
    Given the adapter watches the prefix
    And the platform service is down
    Then the platform watch fails once with "platform-down"

  Scenario: A cancelled watch is told nothing
    Given the adapter watches the prefix
    And the platform watch is cancelled
    When the adapter writes "one" upon revision 0
    Then the platform watch has reported nothing

  Scenario: Calls are counted by kind
    Given the adapter watches the prefix
    When the adapter writes "one" upon revision 0
    And the adapter writes "two" under a lease of 5 s
    Then the adapter has counted 2 writes, 1 lease, 1 watch and no failure
