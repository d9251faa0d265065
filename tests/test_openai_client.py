"""The official OpenAI client works with only its base URL changed."""

import asyncio

import openai
import pytest
from testkit import Fleet

from gypsumusher_standins import expected_text

pytestmark = pytest.mark.processes
PROMPT = "where does the crew start on monday"


def make_client(host):
    return openai.AsyncOpenAI(
        base_url=f"http://{host.addresses['callers']}/v1", api_key="any"
    )


def test_completions_chat_streams_and_models():
    async def main():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=1, engines=1)
            client = make_client(hosts[0])
            models = await client.models.list()
            assert [model.id for model in models.data] == ["letter-models"]
            response = await client.completions.create(
                model="letter-models", prompt=PROMPT, max_tokens=6
            )
            assert response.choices[0].text == expected_text(PROMPT, 6)
            chat = await client.chat.completions.create(
                model="letter-models",
                messages=[{"role": "user", "content": PROMPT}],
                max_tokens=6,
            )
            assert chat.choices[0].message.content == expected_text(PROMPT, 6)
            parts = []
            stream = await client.chat.completions.create(
                model="letter-models",
                messages=[{"role": "user", "content": PROMPT}],
                max_tokens=6,
                stream=True,
            )
            async for chunk in stream:
                parts.append(chunk.choices[0].delta.content or "")
            assert "".join(parts) == expected_text(PROMPT, 6)
            await client.close()

    asyncio.run(main())


def test_refusals_raise_openai_errors():
    async def main():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=1, engines=1)
            client = make_client(hosts[0])
            with pytest.raises(openai.NotFoundError, match="is no deployment"):
                await client.completions.create(model="none", prompt="x")
            with pytest.raises(openai.BadRequestError, match="max_tokens"):
                await client.completions.create(
                    model="letter-models", prompt="x", max_tokens=0
                )
            await client.close()

    asyncio.run(main())
